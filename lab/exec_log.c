#include "exec_log.h"

#include "lav/nodecfg.h"

#include <glib.h>
#include <inttypes.h>
#include <stdlib.h>
#include <stdio.h>
#include <string.h>

/* Executions and responses of one request id; times are wall clock. */
typedef struct exec_log_history {
    int runs;
    int64_t first_run_ms;
    bool non_idempotent;
    int64_t refused_ms;       /* of the latest "not run" response, or 0 */
    int64_t last_response_ms; /* of the latest response, or 0 */
    bool last_was_refusal;
} exec_log_history;

typedef void (*exec_log_line_cb)(int64_t ms, const char *what,
                                 const char *request, const char *operation,
                                 void *payload);

/* Calls back for each valid line of a log; a missing file has none. */
static void
exec_log_read_file(const char *path, exec_log_line_cb callback, void *payload)
{
    char line[512];
    FILE *file = fopen(path, "rb");
    while (file != NULL && fgets(line, sizeof(line), file) != NULL) {
        int64_t ms = 0;
        char what[32];
        char request[ID_SIZE];
        char operation[128];
        if (sscanf(line, "%" SCNd64 " %31s %63s %127s", &ms, what, request,
                   operation) == 4) {
            callback(ms, what, request, operation, payload);
        }
    }
    if (file != NULL) {
        fclose(file);
    }
}

/* Calls back for each line of the logs of all instances. */
static void
exec_log_read_all(const cluster_env *env, exec_log_line_cb callback,
                  void *payload)
{
    for (size_t i = 0; i < env->count; i++) {
        char path[CLUSTER_PATH_SIZE * 2];
        cluster_get_log_path(path, sizeof(path), env, &env->instances[i]);
        exec_log_read_file(path, callback, payload);
    }
}

/* Returns the history of an id, made on first use. */
static exec_log_history *
exec_log_find(GHashTable *ids, const char *request)
{
    exec_log_history *history = g_hash_table_lookup(ids, request);
    if (history == NULL) {
        history = g_new0(exec_log_history, 1);
        g_hash_table_insert(ids, g_strdup(request), history);
    }
    return history;
}

typedef struct exec_log_check_state {
    GHashTable *ids;            /* request -> exec_log_history */
    GHashTable *non_idempotent; /* set of operation names */
    exec_log_result *result;
} exec_log_check_state;

/* Records when a response came and whether it said "not run". */
static void
exec_log_record_response(exec_log_history *history, int64_t ms, bool refusal)
{
    if (ms >= history->last_response_ms) {
        history->last_response_ms = ms;
        history->last_was_refusal = refusal;
    }
    if (refusal && ms > history->refused_ms) {
        history->refused_ms = ms;
    }
}

/* Records a line of a log: an execution, or a response to a target's call. */
static void
exec_log_record_line(int64_t ms, const char *what, const char *request,
                     const char *operation, void *payload)
{
    exec_log_check_state *state = payload;
    exec_log_history *history = exec_log_find(state->ids, request);
    if (strcmp(what, "run") == 0) {
        state->result->executions++;
        history->non_idempotent =
            g_hash_table_contains(state->non_idempotent, operation);
        if (history->runs++ == 0 || ms < history->first_run_ms) {
            history->first_run_ms = ms;
        }
    }
    else if (strcmp(what, "not-run") == 0) {
        exec_log_record_response(history, ms, true);
    }
    else if (strcmp(what, "unknown") == 0 ||
             (strcmp(what, "done") == 0 && strchr(operation, '/') != NULL)) {
        exec_log_record_response(history, ms,
                                 false); /* to the call of a target */
    }
}

/* Returns whether a "not run" response was false: the request had run before,
 * or it ran later although it was not sent again. */
static bool
exec_log_is_false_refusal(const exec_log_history *history)
{
    if (history->refused_ms == 0 || history->runs == 0) {
        return false;
    }
    return history->first_run_ms < history->refused_ms ||
           history->last_was_refusal;
}

/* Checks the guarantees of one id and counts violations. */
static void
exec_log_check_id(gpointer key, gpointer value, gpointer payload)
{
    const exec_log_history *history = value;
    exec_log_result *result = payload;
    bool violated = false;
    if (history->non_idempotent) {
        result->non_idempotent_ids++;
        if (history->runs > 1) {
            result->run_twice++;
            violated = true;
        }
    }
    if (exec_log_is_false_refusal(history)) {
        result->false_refusals++;
        violated = true;
    }
    if (violated) {
        snprintf(result->example, sizeof(result->example), "%s",
                 (const char *)key);
    }
}

/* Records the responses that the load generator received. */
static void
exec_log_record_responses(exec_log_check_state *state, const loadgen *l)
{
    for (size_t i = 0; i < l->count; i++) {
        const loadgen_request *request = &l->requests[i];
        for (int k = 0; k < request->attempts; k++) {
            const loadgen_response *response = &request->answers[k];
            exec_log_history *history =
                exec_log_find(state->ids, request->request.text);
            exec_log_record_response(history, response->ms,
                                     response->outcome == LOADGEN_NOT_RUN);
            if (strcmp(response->reason, "WRONG ANSWER") == 0) {
                state->result->wrong_answers++;
            }
        }
    }
}

/* Collects the names of the non-idempotent operations from the service
 * files. */
static int
exec_log_collect_non_idempotent(GHashTable *out, const cluster_env *env,
                                err *e)
{
    for (size_t i = 0; i < env->deployment.service_count; i++) {
        char path[CLUSTER_PATH_SIZE * 2];
        char *text = NULL;
        svc_file *file = NULL;
        snprintf(path, sizeof(path), "%s/services/%s.toml",
                 env->deployment.folder, env->deployment.services[i].name);
        int result = nodecfg_read_text_file(&text, path, SVC_FILE_SIZE_MAX, e);
        if (result == 0) {
            result = svc_parse(&file, text, path, e);
        }
        free(text);
        if (result < 0 || file == NULL) {
            return result;
        }
        for (size_t k = 0; k < file->operation_count; k++) {
            if (!file->operations[k].idempotent) {
                g_hash_table_add(out, g_strdup(file->operations[k].name));
            }
        }
        svc_free(file);
    }
    return 0;
}

/* Checks the logs against the responses of a finished load; `l` may be NULL.
 * Returns 0 or the error of loading a service file. */
int
exec_log_check(exec_log_result *out, const cluster_env *env, const loadgen *l,
               err *e)
{
    *out = (exec_log_result){0};
    exec_log_check_state state = {
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free),
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL), out};
    int result = exec_log_collect_non_idempotent(state.non_idempotent, env, e);
    if (result == 0) {
        exec_log_read_all(env, exec_log_record_line, &state);
        if (l != NULL) {
            exec_log_record_responses(&state, l);
        }
        g_hash_table_foreach(state.ids, exec_log_check_id, out);
    }
    g_hash_table_destroy(state.ids);
    g_hash_table_destroy(state.non_idempotent);
    return result;
}

/* Counts the executions that match. */
typedef struct exec_log_run_filter {
    const char *operation; /* NULL: any */
    const char *request;   /* NULL: any */
    int runs;
} exec_log_run_filter;

/* Counts a line if it is an execution that the filter matches. */
static void
exec_log_count_line(int64_t ms, const char *what, const char *request,
                    const char *operation, void *payload)
{
    (void)ms;
    exec_log_run_filter *filter = payload;
    bool matches = strcmp(what, "run") == 0;
    matches = matches && (filter->operation == NULL ||
                          strcmp(filter->operation, operation) == 0);
    matches = matches && (filter->request == NULL ||
                          strcmp(filter->request, request) == 0);
    filter->runs += matches ? 1 : 0;
}

/* Counts the executions of an operation at all targets. */
int
exec_log_count_operation_runs(const cluster_env *env, const char *operation)
{
    exec_log_run_filter filter = {operation, NULL, 0};
    exec_log_read_all(env, exec_log_count_line, &filter);
    return filter.runs;
}

/* Counts the executions of a request id at all targets. */
int
exec_log_count_request_runs(const cluster_env *env, const char *request)
{
    exec_log_run_filter filter = {NULL, request, 0};
    exec_log_read_all(env, exec_log_count_line, &filter);
    return filter.runs;
}

typedef struct exec_log_pause {
    int64_t from_ms;
    int64_t to_ms;
    int64_t last_ms; /* when the last call began, or the span */
    int64_t longest_ms;
} exec_log_pause;

static void
exec_log_add_pause(int64_t ms, const char *what, const char *request,
                   const char *operation, void *payload)
{
    exec_log_pause *pause = payload;
    (void)request;
    (void)operation;
    if (strcmp(what, "run") != 0 || ms < pause->from_ms || ms > pause->to_ms) {
        return;
    }
    pause->longest_ms = MAX(pause->longest_ms, ms - pause->last_ms);
    pause->last_ms = MAX(pause->last_ms, ms);
}

/* Returns the longest time, in ms, in which a target began no call, within a
 * span of wall clock time. */
int64_t
exec_log_longest_pause_ms(const cluster_env *env,
                          const cluster_instance *instance, int64_t from_ms,
                          int64_t to_ms)
{
    char path[CLUSTER_PATH_SIZE * 2];
    exec_log_pause pause = {from_ms, to_ms, from_ms, 0};
    cluster_get_log_path(path, sizeof(path), env, instance);
    exec_log_read_file(path, exec_log_add_pause, &pause);
    return MAX(pause.longest_ms, to_ms - pause.last_ms);
}
