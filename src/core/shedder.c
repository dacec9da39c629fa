#include "lav/shedder.h"

#include <glib.h>
#include <stdlib.h>

#include "lav/err.h"

#define SHEDDER_COUNT_DECAY 0.7 /* of the request counts, per period */

typedef struct shedder_class {
    int priority;
    double count;  /* recent requests, decayed */
    double share;  /* of them that are admitted, 0 to 1 */
    double credit; /* admissions accumulated, at most 2 */
} shedder_class;

typedef struct shedder_service {
    uint32_t service;
    double level; /* 1: everything is admitted */
    /* Ring buffer of the levels of the last periods, and the oldest one. */
    double past_levels[SHEDDER_FEEDBACK_DELAY_PERIODS];
    int past_index;
    double factor; /* overload factor, moving average */
    int64_t reported_at_us;
    int64_t updated_at_us;
    shedder_class classes[SHEDDER_PRIORITIES_MAX]; /* highest priority first */
    int class_count;
} shedder_service;

struct shedder_state {
    shedder_service services[SHEDDER_SERVICES_MAX];
    int count;
    GHashTable *routes; /* route key -> index in services + 1 */
};

/* Creates a shedder that admits everything.  ERR_NO_MEMORY if memory is
 * exhausted. */
int
shedder_new(shedder_state **out)
{
    shedder_state *state = calloc(1, sizeof(*state));
    if (state == NULL) {
        return ERR_NO_MEMORY;
    }
    state->routes = g_hash_table_new(g_direct_hash, g_direct_equal);
    *out = state;
    return 0;
}

/* Frees the shedder; NULL is allowed. */
void
shedder_free(shedder_state *state)
{
    if (state != NULL) {
        g_hash_table_destroy(state->routes);
        free(state);
    }
}

/* Returns the entry of a service; NULL if it has none. */
static shedder_service *
shedder_find(const shedder_state *state, uint32_t service)
{
    for (int i = 0; i < state->count; i++) {
        if (state->services[i].service == service) {
            return (shedder_service *)&state->services[i];
        }
    }
    return NULL;
}

/* Returns the initial entry of a service, which admits everything. */
static shedder_service
shedder_open(uint32_t service)
{
    shedder_service entry = {.service = service, .level = 1};
    for (int i = 0; i < SHEDDER_FEEDBACK_DELAY_PERIODS; i++) {
        entry.past_levels[i] = 1;
    }
    return entry;
}

/* Returns the entry of a service, a new one if needed; it replaces an entry
 * that admits everything when the table is full.  NULL if there is none. */
static shedder_service *
shedder_get(shedder_state *state, uint32_t service)
{
    shedder_service *entry = shedder_find(state, service);
    if (entry == NULL && state->count < SHEDDER_SERVICES_MAX) {
        entry = &state->services[state->count++];
        *entry = shedder_open(service);
    }
    for (int i = 0; entry == NULL && i < state->count; i++) {
        if (state->services[i].level >= 1) {
            entry = &state->services[i];
            *entry = shedder_open(service);
        }
    }
    return entry;
}

/* Returns the service that limits a route; NULL if none is known. */
static shedder_service *
shedder_find_route(const shedder_state *state, uint32_t route)
{
    int index = GPOINTER_TO_INT(
        g_hash_table_lookup(state->routes, GUINT_TO_POINTER(route)));
    return index == 0 ? NULL : (shedder_service *)&state->services[index - 1];
}

/* Divides the level among the priorities: a minimum for each, then the highest
 * priorities first. */
static void
shedder_split_level(shedder_service *entry)
{
    double total = 0;
    for (int i = 0; i < entry->class_count; i++) {
        total += entry->classes[i].count;
    }
    double remaining = total * entry->level * (1 - SHEDDER_PRIORITY_SHARE_MIN);
    for (int i = 0; i < entry->class_count; i++) {
        shedder_class *class = &entry->classes[i];
        double floor =
            class->count * entry->level * SHEDDER_PRIORITY_SHARE_MIN;
        double extra = MIN(class->count - floor, remaining);
        remaining -= extra;
        class->share = class->count > 0 ? (floor + extra) / class->count : 1;
    }
}

/* Moves the level towards the one at which the demand would be
 * SHEDDER_TARGET_FACTOR times the calls served; once per period. */
static void
shedder_update_level(shedder_service *entry, int64_t now_us)
{
    if (now_us - entry->updated_at_us < SHEDDER_PERIOD_US) {
        return;
    }
    entry->updated_at_us = now_us;
    /* Overload reported now is caused by the requests admitted at that
     * level. */
    double past_level = entry->past_levels[entry->past_index];
    double change = SHEDDER_RAISE_RATIO_MAX;
    if (now_us - entry->reported_at_us <= SHEDDER_REPORT_MAX_AGE_US &&
        entry->factor > 0) {
        change = MIN(SHEDDER_TARGET_FACTOR / entry->factor,
                     SHEDDER_RAISE_RATIO_MAX);
    }
    entry->past_levels[entry->past_index] = entry->level;
    entry->past_index =
        (entry->past_index + 1) % SHEDDER_FEEDBACK_DELAY_PERIODS;
    entry->level += (past_level * change - entry->level) * SHEDDER_GAIN;
    entry->level = CLAMP(entry->level, SHEDDER_LEVEL_MIN, 1.0);
    shedder_split_level(entry);
    for (int i = 0; i < entry->class_count; i++) {
        entry->classes[i].count *= SHEDDER_COUNT_DECAY;
    }
}

/* Records the overload on the call chain of a route, as reported by a
 * response. */
void
shedder_record_report(shedder_state *state, uint32_t route,
                      const downstream_overload *chain_overload,
                      int64_t now_us)
{
    shedder_service *entry = chain_overload->service != 0
                                 ? shedder_get(state, chain_overload->service)
                                 : NULL;
    if (entry == NULL) {
        return;
    }
    entry->factor +=
        (chain_overload->factor - entry->factor) * SHEDDER_REPORT_WEIGHT;
    entry->reported_at_us = now_us;
    const shedder_service *current = shedder_find_route(state, route);
    if (current != NULL && current != entry && current->level < 1 &&
        chain_overload->factor < 1) {
        return; /* another service limits the route */
    }
    g_hash_table_insert(state->routes, GUINT_TO_POINTER(route),
                        GINT_TO_POINTER((int)(entry - state->services) + 1));
}

/* Returns the entry of a priority; entries are kept sorted by priority.  When
 * all are in use, the last one is shared. */
static shedder_class *
shedder_get_class(shedder_service *entry, int priority)
{
    int index = 0;
    while (index < entry->class_count &&
           entry->classes[index].priority < priority) {
        index++;
    }
    if (index < entry->class_count &&
        entry->classes[index].priority == priority) {
        return &entry->classes[index];
    }
    if (entry->class_count == SHEDDER_PRIORITIES_MAX) {
        return &entry->classes[SHEDDER_PRIORITIES_MAX - 1];
    }
    for (int i = entry->class_count; i > index; i--) {
        entry->classes[i] = entry->classes[i - 1];
    }
    entry->class_count++;
    entry->classes[index] =
        (shedder_class){.priority = priority, .share = entry->level};
    return &entry->classes[index];
}

/* Whether to admit an external request. */
bool
shedder_admit(shedder_state *state, uint32_t route, int priority,
              int64_t now_us)
{
    shedder_service *entry = shedder_find_route(state, route);
    if (entry == NULL) {
        return true;
    }
    shedder_class *class = shedder_get_class(entry, priority);
    class->count++;
    shedder_update_level(entry, now_us);
    if (entry->level >= 1) {
        return true;
    }
    class->credit = MIN(class->credit + class->share, 2.0);
    if (class->credit < 1) {
        return false;
    }
    class->credit -= 1;
    return true;
}

/* Returns the admission level of a route; 1 if no service limits it. */
double
shedder_get_level(const shedder_state *state, uint32_t route)
{
    const shedder_service *entry = shedder_find_route(state, route);
    return entry == NULL ? 1 : entry->level;
}

/* Returns the hash of the name of the service that limits a route; 0 if none
 * does. */
uint32_t
shedder_limiting_service(const shedder_state *state, uint32_t route)
{
    const shedder_service *entry = shedder_find_route(state, route);
    return entry == NULL || entry->level >= 1 ? 0 : entry->service;
}
