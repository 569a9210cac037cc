/* Prints the replies of instances as tables or as JSON. */
#ifndef CLI_SHOW_H
#define CLI_SHOW_H

#include "cli/cmd.h"

__BEGIN_DECLS

const char *show_member_text(
    struct json_object *, const char *key, const char *def);
void show_body(const struct cmd *, struct json_object *body, bool json);

__END_DECLS

#endif
