#include "hcl.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "hls.h"
#include "lav/err.h"

#define HCL_FRESH_US 5000000LL /* 5 s; idle connections are probed each s */
#define HCL_ADDRESS_SIZE 32    /* bytes, with the closing NUL */

struct hcl_call {
    hlp *l;
    hpl *pool;
    hcn *connection;
    hcl_answer answer;
    const char *fields[HCL_FIELDS_MAX];
    GByteArray *body;
    hcl_cb done;
    void *payload;
};

static void
hcl_free(hcl_call *call)
{
    g_byte_array_free(call->body, TRUE);
    free(call);
}

static void
hcl_finish(hcl_call *call, enum hcl_result result)
{
    g_byte_array_append(call->body, (const guint8 *)"", 1);
    call->answer.result = result;
    call->answer.body = (const char *)call->body->data;
    call->answer.length = call->body->len - 1;
    call->done(&call->answer, call->payload);
    hcl_free(call);
}

static enum hcn_verdict
hcl_on_head(hcn *c, const htm *head, void *payload)
{
    (void)c;
    hcl_call *call = payload;
    call->answer.status = head->status;
    for (int i = 0; i < HCL_FIELDS_MAX; i++) {
        if (call->fields[i] != NULL) {
            htm_copy(call->answer.values[i], HCL_VALUE_SIZE,
                     htm_get(head, call->fields[i]));
        }
    }
    return HCN_ACCEPT;
}

static void
hcl_on_body(hcn *c, const char *bytes, size_t length, void *payload)
{
    hcl_call *call = payload;
    if (call->body->len + length > HCL_BODY_MAX) {
        hcn_close(c);
        hcl_finish(call, HCL_LOST);
        return;
    }
    g_byte_array_append(call->body, (const guint8 *)bytes, (guint)length);
}

static void
hcl_on_message(hcn *c, void *payload)
{
    hcl_call *call = payload;
    hpl_put(call->pool, c, HPL_KEEP_US);
    hcl_finish(call, HCL_ANSWERED);
}

static void
hcl_on_drain(hcn *c, void *payload)
{
    (void)c;
    (void)payload;
}

static void
hcl_on_end(hcn *c, enum hcn_end end, void *payload)
{
    (void)end;
    bool sent = hcn_connected(c);
    hcl_finish(payload, sent ? HCL_LOST : HCL_NOT_SENT);
}

static const hcn_handlers hcl_handlers = {
    hcl_on_head, hcl_on_body, hcl_on_message, hcl_on_drain, hcl_on_end};

static void
hcl_write(hcn *c, const hcl_options *opts)
{
    char host[HCL_ADDRESS_SIZE];
    hls_address_text(host, sizeof(host), hcn_peer(c));
    hbf *out = hcn_out(c);
    hbf_add_text(out, opts->method);
    hbf_add_text(out, " ");
    hbf_add_text(out, opts->path);
    hbf_addf(out, " HTTP/1.1\r\nHost: %s\r\n", host);
    if (opts->body != NULL) {
        hbf_addf(out,
                 "Content-Type: application/json\r\n"
                 "Content-Length: %zu\r\n",
                 opts->length);
    }
    hbf_add_text(out, "\r\n");
    if (opts->body != NULL) {
        hbf_add(out, opts->body, opts->length);
    }
    hcn_expect_answer(c, strcmp(opts->method, "HEAD") == 0);
}

/* Begin an exchange; `done` comes once, not from within this call.  On an
 * error nothing was sent and `done` does not come. */
int
hcl_start(hcl_call **out, hpl *pool, hlp *l, const struct sockaddr_in *to,
          const hcl_options *opts, hcl_cb done, void *payload)
{
    hcl_call *call = calloc(1, sizeof(*call));
    if (call == NULL) {
        return ERR_NO_MEMORY;
    }
    *call = (hcl_call){.l = l, .pool = pool, .done = done, .payload = payload};
    memcpy(call->fields, opts->fields, sizeof(call->fields));
    call->body = g_byte_array_new();
    hcn *c = hpl_get(pool, to, HCL_FRESH_US);
    if (c == NULL) {
        int result =
            hcn_connect(&c, l, to, opts->timeout_us, &hcl_handlers, call);
        if (result < 0) {
            hcl_free(call);
            return result;
        }
        hcn_probe_silence(c);
    }
    hcn_own(c, &hcl_handlers, call);
    call->connection = c;
    hcl_write(c, opts);
    hcn_expire(c, l->now_us + opts->timeout_us);
    if (out != NULL) {
        *out = call;
    }
    return 0;
}

/* Give an exchange up; `done` does not come.  Takes NULL. */
void
hcl_cancel(hcl_call *call)
{
    if (call != NULL) {
        hcn_close(call->connection);
        hcl_free(call);
    }
}
