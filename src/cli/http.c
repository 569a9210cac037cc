#include "cli/http.h"

#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>

#define CONNECT_TIMEOUT_MS 1500L
#define REPLY_MAX_BYTES	   (64 * 1024 * 1024)

struct buffer {
	char *p;
	size_t len;
};

/* Appends received data to a buffer; libcurl aborts if 0 is returned. */
static size_t
append_data(char *data, size_t size, size_t n, void *arg)
{
	struct buffer *b = arg;
	size_t len = size * n;

	if (b->len + len > REPLY_MAX_BYTES)
		return 0;
	b->p = talloc_realloc(NULL, b->p, char, b->len + len + 1);
	if (b->p == NULL)
		abort();
	memcpy(b->p + b->len, data, len);
	b->len += len;
	b->p[b->len] = '\0';
	return len;
}

/* Returns true for errors that occur before any byte of the request is sent. */
static bool
failed_before_sending(CURLcode rc)
{
	return rc == CURLE_COULDNT_CONNECT || rc == CURLE_URL_MALFORMAT ||
	    rc == CURLE_COULDNT_RESOLVE_HOST;
}

/*
 * Sends a request to one instance. connected becomes true once there was a
 * connection, over which the request may have been sent.
 */
static CURLcode
try_instance(const struct http_client *c, const char *instance,
    const char *method, const char *path, const char *body, struct buffer *out,
    long *code, bool *connected)
{
	CURL *h = curl_easy_init();
	struct curl_slist *headers = NULL;
	char *url = talloc_asprintf(NULL, "http://%s%s", instance, path);
	curl_off_t connect_us = 0;
	CURLcode rc;

	headers = curl_slist_append(headers, "Content-Type: application/json");
	headers = curl_slist_append(headers, "Expect:");
	curl_easy_setopt(h, CURLOPT_URL, url);
	curl_easy_setopt(h, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(h, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(h, CURLOPT_PROXY, "");
	curl_easy_setopt(h, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(h, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(h, CURLOPT_TIMEOUT_MS, c->timeout_ms);
	curl_easy_setopt(h, CURLOPT_WRITEFUNCTION, append_data);
	curl_easy_setopt(h, CURLOPT_WRITEDATA, out);
	if (body != NULL)
		curl_easy_setopt(h, CURLOPT_POSTFIELDS, body);
	rc = curl_easy_perform(h);
	curl_easy_getinfo(h, CURLINFO_RESPONSE_CODE, code);
	curl_easy_getinfo(h, CURLINFO_CONNECT_TIME_T, &connect_us);
	*connected = connect_us > 0;
	curl_slist_free_all(headers);
	curl_easy_cleanup(h);
	talloc_free(url);
	return rc;
}

/*
 * Sends a request to the instances in turn until one answers. The text of
 * the reply is owned by ctx; the reply is released with http_reply_finish.
 */
enum status
http_call(const struct http_client *c, TALLOC_CTX *ctx, const char *method,
    const char *path, const char *body, bool resend, struct http_reply *r,
    struct err *e)
{
	bool may_have_run = false, connected;
	struct buffer b;
	CURLcode rc;
	size_t i;

	memset(r, 0, sizeof(*r));
	for (i = 0; c->instances[i] != NULL; i++) {
		memset(&b, 0, sizeof(b));
		rc = try_instance(c, c->instances[i], method, path, body, &b,
		    &r->code, &connected);
		if (rc == CURLE_OK) {
			r->text = b.p == NULL ? talloc_strdup(ctx, "")
					      : talloc_steal(ctx, b.p);
			r->body = json_tokener_parse(r->text);
			return STATUS_OK;
		}
		talloc_free(b.p);
		err_set(e, STATUS_UNAVAILABLE, "%s: %s", c->instances[i],
		    curl_easy_strerror(rc));
		if (!failed_before_sending(rc) && connected) {
			may_have_run = true;
			if (!resend)
				break;
		}
	}
	if (may_have_run)
		return err_set(e, STATUS_UNKNOWN,
		    "no answer after the request was sent; its outcome is "
		    "unknown");
	return STATUS_UNAVAILABLE;
}

/* Releases the parsed body of a reply. */
void
http_reply_finish(struct http_reply *r)
{
	if (r->body != NULL)
		json_object_put(r->body);
	r->body = NULL;
}
