#include "news_sync.h"

#include <jansson.h>
#include <stdlib.h>

#include "http_async.h"
#include "lav/err.h"
#include "lav/log.h"
#include "peer_sync.h"
#include "record_json.h"

#define NEWS_SYNC_PERIOD_S 0.4      /* between two rounds of questions */
#define NEWS_SYNC_TIMEOUT_US 300000 /* 0.3 s; then the next reader is asked */
#define NEWS_SYNC_MAX_PER_ROUND 4   /* readers asked one after the other */

struct news_sync {
    runtime *n;
    ev_timer timer; /* runs while few nodes read */
    http_async_call *question;
    struct sockaddr_in asked;
    int64_t asked_us;
    int questions; /* of this round */
};

static void news_sync_ask(news_sync *s);

/* Handles what a reader says of its version.  One that does not answer, does
 * not read or lags behind says nothing: the next one is asked. */
static void
news_sync_on_version(const http_async_response *response, void *payload)
{
    news_sync *s = payload;
    runtime *n = s->n;
    s->question = NULL;
    if (response->result != HTTP_ASYNC_COMPLETE || response->status != 200) {
        news_sync_ask(s);
        return;
    }
    json_t *root = json_loadb(response->body, response->length, 0, NULL);
    json_int_t version = json_integer_value(json_object_get(root, "version"));
    bool reads = json_is_true(json_object_get(root, "reads"));
    json_decref(root);
    if (version <= 0) {
        news_sync_ask(s);
        return;
    }
    n->last_peer_contact_us = n->l->now_us;
    config_contact_hear_peer(&n->contact, (uint64_t)version, n->l->now_us);
    switch (store_news_judge((uint64_t)version, reads,
                             runtime_config_version(n))) {
    case STORE_NEWS_CONFIRMED:
        store_news_confirm(&n->news, s->asked_us);
        config_contact_hear_reader(&n->contact,
                                   s->asked_us + STORE_NEWS_SILENCE_US);
        break;
    case STORE_NEWS_NEWER:
        peer_sync_fetch_state(n, &s->asked);
        break;
    case STORE_NEWS_UNKNOWN:
        news_sync_ask(s);
        break;
    }
}

/* Asks the next reader, unless enough were asked in this round. */
static void
news_sync_ask(news_sync *s)
{
    runtime *n = s->n;
    const instance_record *reader = instance_get(
        n->fleet, store_news_next_reader(
                      &n->news, instance_find(n->fleet, n->self.node)));
    if (reader == NULL || s->questions == NEWS_SYNC_MAX_PER_ROUND) {
        return;
    }
    s->questions++;
    s->asked = record_json_address(reader);
    s->asked_us = n->l->now_us;
    http_async_options opts = {.method = "GET",
                               .path = PEER_SYNC_VERSION_PATH,
                               .timeout_us = NEWS_SYNC_TIMEOUT_US};
    if (http_async_start(&s->question, n->pool, n->l, &s->asked, &opts,
                         news_sync_on_version, s) < 0) {
        s->question = NULL;
        log_write(LOG_WARN, NULL, "version query to reader %s cannot be sent",
                  reader->node);
    }
}

/* Chooses the readers anew; logs if this node begins or ceases to read, or
 * with `always`. */
static void
news_sync_choose(runtime *n, bool always)
{
    bool read_before = n->news.is_reader;
    store_news_choose(&n->news, n->fleet, n->self.node, n->l->now_us);
    if (always || n->news.is_reader != read_before) {
        log_event(LOG_INFO, "store_reader", NULL, "{s:b,s:i}", "reads",
                  n->news.is_reader, "readers", n->news.reader_count);
    }
}

/* Timer: chooses the readers anew and asks one of them.  Readers ask too: one
 * whose own read hangs learns of changes from the others. */
static void
news_sync_on_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    news_sync *s = watcher->data;
    runtime *n = s->n;
    evloop_update_now(n->l);
    news_sync_choose(n, false);
    if (s->question == NULL) {
        s->questions = 0;
        news_sync_ask(s);
    }
}

/* Starts or stops the questions, as the desired state in force calls for. */
void
news_sync_configure(news_sync *s)
{
    runtime *n = s->n;
    bool shared_before = n->news.shared;
    n->news.shared = store_news_is_called_for(n->routes);
    if (n->news.shared) {
        news_sync_choose(n, !shared_before);
        ev_timer_start(n->l->loop, &s->timer);
    }
    else {
        ev_timer_stop(n->l->loop, &s->timer);
    }
}

/* Creates the module, idle until a desired state calls for it; ERR_NO_MEMORY
 * on failure. */
int
news_sync_new(news_sync **out, runtime *n)
{
    news_sync *s = calloc(1, sizeof(*s));
    if (s == NULL) {
        return ERR_NO_MEMORY;
    }
    s->n = n;
    double first = NEWS_SYNC_PERIOD_S * (double)(runtime_random() >> 11) /
                   (double)(1ULL << 53);
    ev_timer_init(&s->timer, news_sync_on_timer, first, NEWS_SYNC_PERIOD_S);
    s->timer.data = s;
    *out = s;
    return 0;
}

/* Stops the questions; accepts NULL. */
void
news_sync_free(news_sync *s)
{
    if (s != NULL) {
        ev_timer_stop(s->n->l->loop, &s->timer);
        http_async_cancel(s->question);
        free(s);
    }
}
