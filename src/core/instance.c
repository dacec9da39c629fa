#include "instance_private.h"

#include <stdlib.h>
#include <string.h>

#include "lav/err.h"
#include "lav/id.h"

/* Creates an empty table; `seed` seeds the random choice among equal
 * instances.  ERR_NO_MEMORY if memory is exhausted. */
int
instance_new(instance_table **out, uint64_t seed)
{
    instance_table *table = calloc(1, sizeof(*table));
    if (table == NULL) {
        return ERR_NO_MEMORY;
    }
    table->entries = calloc(INSTANCE_COUNT_MAX, sizeof(*table->entries));
    if (table->entries == NULL || instance_notes_new(&table->notes) < 0) {
        free(table->entries);
        free(table);
        return ERR_NO_MEMORY;
    }
    table->by_node =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    table->by_service = g_hash_table_new_full(
        g_direct_hash, g_direct_equal, NULL, (GDestroyNotify)g_array_unref);
    table->random = g_rand_new_with_seed((guint32)(seed ^ (seed >> 32)));
    *out = table;
    return 0;
}

/* Frees the table; NULL is allowed. */
void
instance_free(instance_table *table)
{
    if (table != NULL) {
        g_hash_table_destroy(table->by_node);
        g_hash_table_destroy(table->by_service);
        g_rand_free(table->random);
        instance_notes_free(table->notes);
        free(table->entries);
        free(table);
    }
}

/* Returns the handle of a node, or INSTANCE_NONE. */
int
instance_find(const instance_table *table, const char *node)
{
    return GPOINTER_TO_INT(g_hash_table_lookup(table->by_node, node)) - 1;
}

/* Returns the handles of the nodes of a service, unordered; NULL if none was
 * ever known.  `service` is the hash of its name. */
GArray *
instance_group(const instance_table *table, uint32_t service)
{
    return g_hash_table_lookup(table->by_service, GUINT_TO_POINTER(service));
}

/* Adds an entry to the group of its service. */
static void
instance_group_add(instance_table *table, int handle)
{
    uint32_t service = table->entries[handle].service;
    GArray *group = instance_group(table, service);
    if (group == NULL) {
        group = g_array_new(FALSE, FALSE, sizeof(int));
        g_hash_table_insert(table->by_service, GUINT_TO_POINTER(service),
                            group);
    }
    g_array_append_val(group, handle);
}

/* Removes an entry from the group of its service. */
static void
instance_group_remove(instance_table *table, int handle)
{
    GArray *group = instance_group(table, table->entries[handle].service);
    for (guint i = 0; group != NULL && i < group->len; i++) {
        if (g_array_index(group, int, i) == handle) {
            g_array_remove_index_fast(group, i);
            return;
        }
    }
}

/* Whether `a` was published after `b`, by the same node. */
static bool
instance_is_newer(const instance_record *a, const instance_record *b)
{
    if (a->incarnation != b->incarnation) {
        return a->incarnation > b->incarnation;
    }
    return a->sequence > b->sequence;
}

/* Allocates an entry for a node that is not known yet and returns its handle;
 * INSTANCE_NONE if the table is full. */
static int
instance_add(instance_table *table, const char *node)
{
    int handle = table->count;
    for (int i = 0; i < table->count && handle == table->count; i++) {
        if (!table->entries[i].known && table->entries[i].outstanding == 0) {
            handle = i;
        }
    }
    if (handle == INSTANCE_COUNT_MAX) {
        return INSTANCE_NONE;
    }
    if (handle == table->count) {
        table->count++;
    }
    table->entries[handle] = (instance_entry){.known = true};
    table->known_count++;
    g_hash_table_insert(table->by_node, g_strdup(node),
                        GINT_TO_POINTER(handle + 1));
    return handle;
}

/* Resets the backoff: the node answers again, or has another instance. */
static void
instance_clear_failures(instance_entry *entry)
{
    entry->failed_tries = 0;
    entry->retry_at_us = 0;
    entry->awaiting_probe = false;
}

/* Takes over what the node's note of an instance says of the instance. */
static void
instance_apply_note(instance_table *table, int handle)
{
    instance_entry *entry = &table->entries[handle];
    const instance_note *note = instance_notes_get(
        table->notes, entry->record.instance, entry->record.born_ms);
    entry->leaving = note != NULL && note->leaving;
    entry->leaving_cutoff_us = entry->leaving ? note->leaving_cutoff_us : 0;
}

/* Stores the record of a node; false if it is not newer than the known one, or
 * if the table is full. */
bool
instance_update(instance_table *table, const instance_record *record)
{
    int handle = instance_find(table, record->node);
    if (handle == INSTANCE_NONE) {
        handle = instance_add(table, record->node);
        if (handle == INSTANCE_NONE) {
            return false;
        }
    }
    else if (!instance_is_newer(record, &table->entries[handle].record)) {
        return false;
    }
    if (table->first_incarnation == 0 ||
        record->incarnation < table->first_incarnation) {
        table->first_incarnation = record->incarnation;
    }
    instance_entry *entry = &table->entries[handle];
    bool same = strcmp(entry->record.instance, record->instance) == 0 &&
                entry->record.born_ms == record->born_ms &&
                entry->record.incarnation == record->incarnation;
    instance_group_remove(table, handle);
    entry->record = *record;
    entry->service = (uint32_t)id_hash(record->service);
    instance_group_add(table, handle);
    instance_apply_note(table, handle);
    entry->report.state = record->state;
    if (!same) {
        entry->report = (instance_load_report){.limit = record->slots,
                                               .state = record->state};
        entry->reported_at_us = 0;
        entry->sent_since_report = 0;
        instance_clear_failures(entry);
    }
    return true;
}

/* Forgets a node whose record was deleted, unless a later start of the node is
 * known. */
void
instance_remove(instance_table *table, const char *node, uint64_t incarnation)
{
    int handle = instance_find(table, node);
    if (handle != INSTANCE_NONE &&
        table->entries[handle].record.incarnation <= incarnation) {
        instance_group_remove(table, handle);
        table->entries[handle].known = false;
        table->known_count--;
        g_hash_table_remove(table->by_node, node);
    }
}

/* Returns the record of a handle; NULL if it was removed. */
const instance_record *
instance_get(const instance_table *table, int handle)
{
    if (handle < 0 || handle >= table->count ||
        !table->entries[handle].known) {
        return NULL;
    }
    return &table->entries[handle].record;
}

/* Returns the upper bound of the handles: all are smaller. */
int
instance_count(const instance_table *table)
{
    return table->count;
}

/* Returns the lowest incarnation of all nodes that were ever known; 0 if none
 * was. */
uint64_t
instance_first_incarnation(const instance_table *table)
{
    return table->first_incarnation;
}

/* Whether the last published record is that of a ready instance of the
 * service.  A state reported with a response only starts a backoff: the
 * instance may be back before a new record can be published. */
bool
instance_is_ready(const instance_entry *entry, const char *service)
{
    return entry->known && entry->record.state == INSTANCE_READY &&
           strcmp(entry->record.service, service) == 0;
}

/* Whether calls for a service may be sent to an instance. */
bool
instance_serves(const instance_table *table, int handle, const char *service)
{
    return handle >= 0 && handle < table->count &&
           instance_is_ready(&table->entries[handle], service) &&
           !table->entries[handle].awaiting_probe;
}

/* Returns the share of the known nodes that belong to a service, 0 to 1.
 * `service` is the hash of its name. */
double
instance_service_share(const instance_table *table, uint32_t service)
{
    const GArray *group = instance_group(table, service);
    return group == NULL || table->known_count == 0
               ? 0
               : (double)group->len / table->known_count;
}

/* Returns the name of the service with the hash `service`; empty if no node
 * belongs to it. */
const char *
instance_service_name(const instance_table *table, uint32_t service)
{
    const GArray *group = instance_group(table, service);
    return group == NULL || group->len == 0
               ? ""
               : table->entries[g_array_index(group, int, 0)].record.service;
}

/* Returns the handle of a reachable node other than `self`, the first one from
 * a random handle on; INSTANCE_NONE if there is none. */
int
instance_pick_other_node(instance_table *table, const char *self)
{
    int start = table->count > 0
                    ? g_rand_int_range(table->random, 0, table->count)
                    : 0;
    for (int i = 0; i < table->count; i++) {
        int handle = (start + i) % table->count;
        const instance_entry *entry = &table->entries[handle];
        if (entry->known && !entry->awaiting_probe &&
            strcmp(entry->record.node, self) != 0) {
            return handle;
        }
    }
    return INSTANCE_NONE;
}

/* Counts a call that was sent to an instance. */
void
instance_add_call(instance_table *table, int handle)
{
    table->entries[handle].outstanding++;
    table->entries[handle].sent_since_report++;
}

/* Counts the end of a call at an instance, whatever its outcome. */
void
instance_remove_call(instance_table *table, int handle)
{
    table->entries[handle].outstanding--;
}

/* Stores a load report that came with a response, and clears earlier failures.
 * An instance that takes no calls backs off for a fixed time. */
void
instance_set_load(instance_table *table, int handle,
                  const instance_load_report *report, int64_t now_us)
{
    instance_entry *entry = &table->entries[handle];
    entry->report = *report;
    entry->reported_at_us = now_us;
    entry->sent_since_report = 0;
    instance_clear_failures(entry);
    bool serves =
        report->state == INSTANCE_READY || report->state == INSTANCE_STOPPING;
    entry->retry_at_us = serves ? 0 : now_us + INSTANCE_UNAVAILABLE_RECHECK_US;
}

/* Notes what an instance has said of itself in a response that this node
 * relays: its limit, and that it leaves.  `leaving_cutoff_us` is the time from
 * which on a leaving one gets no new requests. */
void
instance_note_report(instance_table *table, int handle,
                     const instance_start *start,
                     const instance_load_report *report,
                     int64_t leaving_cutoff_us, int64_t now_us)
{
    instance_notes_set_rate(table->notes, start->instance, start->born_ms,
                            &report->rate, now_us);
    if (report->state == INSTANCE_DRAINING) {
        instance_notes_set_leaving(table->notes, start->instance,
                                   start->born_ms, leaving_cutoff_us, now_us);
    }
    instance_apply_note(table, handle);
}

/* Delays the next call and the next probe of an instance, longer with each
 * one. */
static void
instance_back_off(instance_entry *entry, int64_t now_us)
{
    int64_t backoff_us = INSTANCE_BACKOFF_MIN_US;
    for (int i = 0;
         i < entry->failed_tries && backoff_us < INSTANCE_BACKOFF_MAX_US;
         i++) {
        backoff_us *= 2;
    }
    entry->failed_tries++;
    entry->retry_at_us = now_us + MIN(backoff_us, INSTANCE_BACKOFF_MAX_US);
    if (!entry->awaiting_probe) {
        entry->awaiting_probe = true;
        entry->unreachable_since_us = now_us;
    }
}

/* Records that the node could not be reached.  The instance gets no call while
 * there are others, until its node has answered a probe. */
void
instance_mark_unreachable(instance_table *table, int handle, int64_t now_us)
{
    table->entries[handle].node_answers = false;
    instance_back_off(&table->entries[handle], now_us);
}

/* Records that the node answered, but for another instance.  It gets no call
 * while there are others, until its node has answered a probe, the first of
 * which is due at once. */
void
instance_mark_replaced(instance_table *table, int handle, int64_t now_us)
{
    instance_entry *entry = &table->entries[handle];
    bool first = !entry->awaiting_probe;
    entry->node_answers = true;
    instance_back_off(entry, now_us);
    if (first) {
        entry->retry_at_us = now_us;
    }
}

/* Records that the node of an instance that gets no call didn't answer. */
void
instance_note_silent(instance_table *table, int handle)
{
    table->entries[handle].node_answers = false;
}

/* Whether the node of an instance could not be reached lately. */
bool
instance_is_node_silent(const instance_table *table, int handle)
{
    const instance_entry *entry = &table->entries[handle];
    return entry->known && entry->awaiting_probe && !entry->node_answers;
}

/* Returns the handle of an unreachable instance whose node is due for a probe,
 * or INSTANCE_NONE.  The time until its next probe grows with each one. */
int
instance_next_to_probe(instance_table *table, int64_t now_us)
{
    for (int i = 0; i < table->count; i++) {
        const instance_entry *entry = &table->entries[i];
        if (entry->known && entry->awaiting_probe &&
            now_us >= entry->retry_at_us) {
            instance_back_off(&table->entries[i], now_us);
            return i;
        }
    }
    return INSTANCE_NONE;
}

/* Returns the handle of an instance that has said that it leaves and whose node
 * is due for a question what stands beside it, or INSTANCE_NONE. */
int
instance_next_leaving_to_probe(instance_table *table, int64_t now_us)
{
    for (int i = 0; i < table->count; i++) {
        instance_entry *entry = &table->entries[i];
        if (entry->known && entry->leaving &&
            now_us >= entry->leaving_cutoff_us &&
            now_us >= entry->leaving_probe_at_us) {
            entry->leaving_probe_at_us = now_us + INSTANCE_LEAVING_PROBE_US;
            return i;
        }
    }
    return INSTANCE_NONE;
}

/* Whether any known instance has said that it leaves. */
bool
instance_is_any_leaving(const instance_table *table)
{
    for (int i = 0; i < table->count; i++) {
        if (table->entries[i].known && table->entries[i].leaving) {
            return true;
        }
    }
    return false;
}

/* Returns for how long, in us, an instance has been unreachable; -1 if it is
 * reachable. */
int64_t
instance_unreachable_for_us(const instance_table *table, int handle,
                            int64_t now_us)
{
    const instance_entry *entry = &table->entries[handle];
    return entry->known && entry->awaiting_probe
               ? now_us - entry->unreachable_since_us
               : -1;
}

/* Records that the node answered a probe and that its instance is the one on
 * record. */
void
instance_mark_reachable(instance_table *table, int handle)
{
    instance_clear_failures(&table->entries[handle]);
}
