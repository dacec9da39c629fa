#include "log_reader.h"

#include <glib.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOG_READER_LINE_SIZE_MAX 65536 /* in bytes */
#define LOG_READER_US_PER_MS 1000
#define LOG_READER_ERROR_STATUS_MIN                                           \
    500 /* this status and above are failures */

struct log_reader {
    GPtrArray *lines; /* of json_t, owned; in order of time if `sorted` */
    GHashTable *by_request; /* id -> GPtrArray of json_t, borrowed */
    size_t skipped;
    bool sorted;
};

/* The time during which a target ran a request. */
typedef struct log_reader_run {
    const char *node; /* node of the target */
    json_int_t from_ms;
    json_int_t to_ms;
} log_reader_run;

static json_int_t
log_reader_int(const json_t *line, const char *key)
{
    return json_integer_value(json_object_get(line, key));
}

static const char *
log_reader_text(const json_t *line, const char *key)
{
    const char *text = json_string_value(json_object_get(line, key));
    return text == NULL ? "" : text;
}

static void
log_reader_decref(gpointer line)
{
    json_decref(line);
}

static void
log_reader_free_list(gpointer list)
{
    g_ptr_array_free(list, TRUE);
}

/* Create a reader without lines. */
int
log_reader_new(log_reader **out, err *e)
{
    log_reader *reader = calloc(1, sizeof(*reader));
    if (reader == NULL) {
        return ERR_SET(e, ERR_NO_MEMORY, "log reader");
    }
    reader->lines = g_ptr_array_new_with_free_func(log_reader_decref);
    reader->by_request = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                               log_reader_free_list);
    *out = reader;
    return 0;
}

/* Release a reader; NULL is allowed. */
void
log_reader_free(log_reader *reader)
{
    if (reader != NULL) {
        g_hash_table_destroy(reader->by_request);
        g_ptr_array_free(reader->lines, TRUE);
        free(reader);
    }
}

/* Parse and add one line; it counts as skipped if it is not a JSON object with
 * an integer `ms`. */
static void
log_reader_add_line(log_reader *reader, const char *text)
{
    const char *start = strchr(text, '{'); /* log collectors add a prefix */
    json_t *line = start == NULL ? NULL : json_loads(start, 0, NULL);
    if (!json_is_integer(json_object_get(line, "ms"))) {
        reader->skipped++;
        json_decref(line);
        return;
    }
    g_ptr_array_add(reader->lines, line);
    reader->sorted = false;
}

/* Read a log file; ERR_IO if it can't be opened.  Lines that no node wrote are
 * skipped and counted. */
int
log_reader_read(log_reader *reader, const char *path, err *e)
{
    static char text[LOG_READER_LINE_SIZE_MAX];
    FILE *file = fopen(path, "r");
    if (file == NULL) {
        return ERR_SET(e, ERR_IO, "%s can't be opened", path);
    }
    while (fgets(text, sizeof(text), file) != NULL) {
        log_reader_add_line(reader, text);
    }
    fclose(file);
    return 0;
}

/* Number of lines skipped so far. */
size_t
log_reader_skipped_lines(const log_reader *reader)
{
    return reader->skipped;
}

static int
log_reader_compare(gconstpointer x, gconstpointer y)
{
    json_int_t a = log_reader_int(*(json_t *const *)x, "ms");
    json_int_t b = log_reader_int(*(json_t *const *)y, "ms");
    return (a > b) - (a < b);
}

/* Sort the lines by time and index them by request. */
static void
log_reader_sort(log_reader *reader)
{
    if (reader->sorted) {
        return;
    }
    g_ptr_array_sort(reader->lines, log_reader_compare);
    g_hash_table_remove_all(reader->by_request);
    for (guint i = 0; i < reader->lines->len; i++) {
        json_t *line = g_ptr_array_index(reader->lines, i);
        const char *request = log_reader_text(line, "request");
        GPtrArray *list = g_hash_table_lookup(reader->by_request, request);
        if (list == NULL) {
            list = g_ptr_array_new();
            g_hash_table_insert(reader->by_request, (gpointer)request, list);
        }
        g_ptr_array_add(list, line);
    }
    reader->sorted = true;
}

/* If a line reports that a target ran its request, return true and set where
 * and when. */
static bool
log_reader_parse_run(log_reader_run *out, const json_t *line)
{
    const char *event = log_reader_text(line, "event");
    const char *duration_field = NULL;
    if (strcmp(event, "served") == 0 || strcmp(event, "target_failed") == 0) {
        duration_field = "took_us";
    }
    else if (strcmp(event, "attempt") == 0 &&
             json_is_true(json_object_get(line, "reached_target"))) {
        duration_field = "after_us";
    }
    if (duration_field == NULL) {
        return false;
    }
    out->node = log_reader_text(line, "node");
    out->to_ms = log_reader_int(line, "ms");
    out->from_ms = out->to_ms -
                   log_reader_int(line, duration_field) / LOG_READER_US_PER_MS;
    return true;
}

/* Whether a line reports the failure of a call that a target on the run's node
 * made during the run. */
static bool
log_reader_is_failed_call(const json_t *line, const log_reader_run *run)
{
    json_int_t ms = log_reader_int(line, "ms");
    const char *event = log_reader_text(line, "event");
    return ms >= run->from_ms && ms <= run->to_ms &&
           log_reader_int(line, "depth") > 0 &&
           log_reader_int(line, "status") >= LOG_READER_ERROR_STATUS_MIN &&
           (strcmp(event, "answer") == 0 ||
            strcmp(event, "target_failed") == 0) &&
           strcmp(log_reader_text(line, "process"), run->node) == 0;
}

static void log_reader_add_request(log_reader *reader, json_t *out,
                                   GHashTable *seen, const char *request,
                                   int depth);

/* Append the failed calls that may have been made during a run. */
static void
log_reader_add_calls(log_reader *reader, json_t *out, GHashTable *seen,
                     const log_reader_run *run, int depth)
{
    for (guint i = 0; i < reader->lines->len; i++) {
        const json_t *line = g_ptr_array_index(reader->lines, i);
        if (log_reader_int(line, "ms") > run->to_ms ||
            g_hash_table_size(seen) >= LOG_READER_CALLS_MAX) {
            break;
        }
        if (log_reader_is_failed_call(line, run)) {
            log_reader_add_request(reader, out, seen,
                                   log_reader_text(line, "request"),
                                   depth + 1);
        }
    }
}

/* Append the lines of a request, then those of its possible child calls. */
static void
log_reader_add_request(log_reader *reader, json_t *out, GHashTable *seen,
                       const char *request, int depth)
{
    GPtrArray *list = g_hash_table_lookup(reader->by_request, request);
    if (list == NULL || depth > LOG_READER_DEPTH_MAX ||
        !g_hash_table_add(seen, (gpointer)request)) {
        return;
    }
    for (guint i = 0; i < list->len; i++) {
        json_t *line = json_copy(g_ptr_array_index(list, i));
        json_object_set_new(line, "below", json_integer(depth));
        json_array_append_new(out, line);
    }
    for (guint i = 0; i < list->len; i++) {
        log_reader_run run;
        if (log_reader_parse_run(&run, g_ptr_array_index(list, i))) {
            log_reader_add_calls(reader, out, seen, &run, depth);
        }
    }
}

/* Return the lines of a request and of its possible child calls, each with
 * `below`: the number of hops downstream, 0 for the request itself.  The array
 * is empty if no log mentions the request; the caller releases it. */
json_t *
log_reader_explain(log_reader *reader, const char *request)
{
    json_t *out = json_array();
    GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
    log_reader_sort(reader);
    log_reader_add_request(reader, out, seen, request, 0);
    g_hash_table_destroy(seen);
    return out;
}
