/* Callers: each keeps its connection until the node closes it. */
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "lav/clock.h"
#include "soak.h"

#define SOAK_PAUSE_MS 15 /* between two requests of one caller */
#define SOAK_KEYS_OF 3   /* one caller of so many has a key that changes */

typedef struct soak_kind {
    const char *method;
    const char *path;
    bool idempotent;
} soak_kind;

static const soak_kind soak_kinds[] = {
    {"GET", "/i/mix", true},
    {"POST", "/n/mix", false},
    {"POST", "/m/mix", false},
    {"GET", "/r/mix", true},
};

static atomic_int soak_caller_count;

/* A success is the target's whole answer to this very request. */
static void
soak_check_answer(soak_run *s, const char *id, const harness_response *answer)
{
    char body[SOAK_ID_SIZE * 2];
    char seal[SOAK_ID_SIZE * 2];
    if (answer->status != 200) {
        return;
    }
    snprintf(body, sizeof(body), "answer to %s", id);
    snprintf(seal, sizeof(seal), "Seal: seal-of-%s\r\n", id);
    if (!answer->complete || answer->length != strlen(body) ||
        memcmp(answer->body, body, answer->length) != 0) {
        soak_report_violation(s, "%s: a success with another body", id);
    }
    if (strstr(answer->head, seal) == NULL) {
        soak_report_violation(s, "%s: a success without the target's seal",
                              id);
    }
}

static void
soak_check_time(soak_run *s, const soak_node *node, const char *id,
                int64_t sent_us, int status)
{
    int64_t now_us = clock_now_us();
    int64_t most_us =
        (int64_t)(SOAK_TIMEOUT_MS + SOAK_LATE_MAX_MS) * CLOCK_US_PER_MS;
    bool held =
        atomic_load(&node->disrupted_us) >= sent_us || !atomic_load(&node->up);
    if (s->opts.check_timing && !held && now_us - sent_us > most_us) {
        soak_report_violation(
            s, "%s: status %d after %lld ms", id, status,
            (long long)((now_us - sent_us) / CLOCK_US_PER_MS));
    }
}

/* Write the header line of a key; an empty one without workspaces. */
void
soak_write_key(char *line, const soak_run *s, enum soak_key key)
{
    static const char *const lasting[] = {[SOAK_KEY_LASTING] = "lasting",
                                          [SOAK_KEY_HOT] = "hot",
                                          [SOAK_KEY_CALM] = "calm"};
    int version = atomic_load(&s->version);
    line[0] = '\0';
    if (!s->opts.workspaces) {
        return;
    }
    if (key != SOAK_KEY_NEWEST && key != SOAK_KEY_WITHDRAWN) {
        snprintf(line, SOAK_KEY_LINE_SIZE, "Authorization: Bearer %s\r\n",
                 lasting[key]);
        return;
    }
    snprintf(line, SOAK_KEY_LINE_SIZE, "Authorization: Bearer key-%d\r\n",
             key == SOAK_KEY_NEWEST ? version : version - 1);
}

/* One request on `*fd`, which is opened if need be and closed after its last
 * answer. */
void
soak_request(soak_run *s, const soak_node *node, int *fd, int kind_index,
             const char *id, enum soak_key key)
{
    const soak_kind *kind =
        &soak_kinds[kind_index % (int)G_N_ELEMENTS(soak_kinds)];
    char request[512];
    char key_line[SOAK_KEY_LINE_SIZE];
    harness_response answer;
    soak_result result = {.idempotent = kind->idempotent, .key = key};
    soak_write_key(key_line, s, key);
    bool fresh = *fd < 0;
    if (fresh) {
        *fd = harness_connect(node->index);
    }
    if (*fd < 0) {
        harness_sleep_ms(SOAK_PAUSE_MS);
        return;
    }
    int size = snprintf(request, sizeof(request),
                        "%s %s HTTP/1.1\r\nHost: h.example\r\n"
                        "Lavenderfield-Attempt-Id: %s\r\n%s"
                        "Content-Length: 0\r\n\r\n",
                        kind->method, kind->path, id, key_line);
    int64_t sent_us = clock_now_us();
    harness_send(*fd, request, (size_t)size);
    harness_read_response(&answer, *fd);
    soak_check_answer(s, id, &answer);
    soak_check_over_cap(s, id, &answer, key);
    soak_check_time(s, node, id, sent_us, answer.status);
    g_strlcpy(result.id, id, sizeof(result.id));
    result.status = answer.status;
    result.sent_us = sent_us;
    if (answer.status == 0 ||
        strstr(answer.head, "Connection: close") != NULL) {
        close(*fd);
        *fd = -1;
    }
    harness_free_response(&answer);
    pthread_mutex_lock(&s->lock);
    g_array_append_val(s->results, result);
    pthread_mutex_unlock(&s->lock);
}

/* A caller at one node, until the soak stops. */
void *
soak_run_caller(void *payload)
{
    const soak_node *node = payload;
    soak_run *s = node->s;
    int number = atomic_fetch_add(&soak_caller_count, 1);
    GRand *random = g_rand_new_with_seed((guint32)(s->opts.seed + number));
    int fd = -1;
    for (int i = 0; !atomic_load(&s->stopped); i++) {
        char id[SOAK_ID_SIZE];
        int kind = g_rand_int_range(random, 0, G_N_ELEMENTS(soak_kinds));
        snprintf(id, sizeof(id), "s%d-%d-%d", s->opts.seed, number, i);
        soak_request(s, node, &fd, kind, id,
                     number % SOAK_KEYS_OF == 0 ? SOAK_KEY_NEWEST
                                                : SOAK_KEY_LASTING);
        harness_sleep_ms(g_rand_int_range(random, 0, 2 * SOAK_PAUSE_MS));
    }
    if (fd >= 0) {
        close(fd);
    }
    g_rand_free(random);
    return NULL;
}
