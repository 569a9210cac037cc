#include <stdio.h>

int
main(int argc, char **argv)
{
	(void)argc;
	(void)argv;
	fprintf(stderr, "usage: cicadabay COMMAND\n");
	return 2;
}
