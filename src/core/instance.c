#include "lav/instance.h"

#include <glib.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "lav/err.h"
#include "lav/id.h"

typedef struct instance_member {
    instance_record record;
    bool known;
    uint32_t service; /* hash of its name */
    instance_load_report report;
    int64_t reported_us;
    int outstanding; /* calls of this node that are under way there */
    int since;       /* of those, sent since the last report */
    int unreachable; /* tries in a row */
    int64_t rest_until_us;
    bool lost; /* no call goes there until its node has been asked */
    int64_t lost_us;
} instance_member;

struct instance_table {
    instance_member *members;
    int count;
    int known_count;
    GHashTable *by_node;    /* node -> handle + 1 */
    GHashTable *by_service; /* hash of a service -> GArray of handles */
    GRand *random;
};

static const char *const instance_state_names[] = {
    "starting", "ready", "stopping", "draining", "gone"};

/* Make an empty fleet; `seed` of the choice among equals. */
int
instance_new(instance_table **out, uint64_t seed)
{
    instance_table *f = calloc(1, sizeof(*f));
    if (f == NULL) {
        return ERR_NO_MEMORY;
    }
    f->members = calloc(INSTANCE_COUNT_MAX, sizeof(*f->members));
    if (f->members == NULL) {
        free(f);
        return ERR_NO_MEMORY;
    }
    f->by_node = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    f->by_service = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL,
                                          (GDestroyNotify)g_array_unref);
    f->random = g_rand_new_with_seed((guint32)(seed ^ (seed >> 32)));
    *out = f;
    return 0;
}

/* Release it; takes NULL. */
void
instance_free(instance_table *f)
{
    if (f != NULL) {
        g_hash_table_destroy(f->by_node);
        g_hash_table_destroy(f->by_service);
        g_rand_free(f->random);
        free(f->members);
        free(f);
    }
}

/* Handle of a node, or INSTANCE_NONE. */
int
instance_find(const instance_table *f, const char *node)
{
    return GPOINTER_TO_INT(g_hash_table_lookup(f->by_node, node)) - 1;
}

/* Handles of the members beside a service, in no order; NULL: none was ever
 * known. */
static GArray *
instance_group(const instance_table *f, uint32_t service)
{
    return g_hash_table_lookup(f->by_service, GUINT_TO_POINTER(service));
}

static void
instance_group_add(instance_table *f, int handle)
{
    uint32_t service = f->members[handle].service;
    GArray *group = instance_group(f, service);
    if (group == NULL) {
        group = g_array_new(FALSE, FALSE, sizeof(int));
        g_hash_table_insert(f->by_service, GUINT_TO_POINTER(service), group);
    }
    g_array_append_val(group, handle);
}

static void
instance_group_remove(instance_table *f, int handle)
{
    GArray *group = instance_group(f, f->members[handle].service);
    for (guint i = 0; group != NULL && i < group->len; i++) {
        if (g_array_index(group, int, i) == handle) {
            g_array_remove_index_fast(group, i);
            return;
        }
    }
}

/* Whether `a` was said after `b`. */
static bool
instance_is_newer(const instance_record *a, const instance_record *b)
{
    if (a->incarnation != b->incarnation) {
        return a->incarnation > b->incarnation;
    }
    return a->sequence > b->sequence;
}

/* A member for a node that is not known yet; INSTANCE_NONE where there is no
 * room. */
static int
instance_add(instance_table *f, const char *node)
{
    int handle = f->count;
    for (int i = 0; i < f->count && handle == f->count; i++) {
        if (!f->members[i].known && f->members[i].outstanding == 0) {
            handle = i;
        }
    }
    if (handle == INSTANCE_COUNT_MAX) {
        return INSTANCE_NONE;
    }
    if (handle == f->count) {
        f->count++;
    }
    f->members[handle] = (instance_member){.known = true};
    f->known_count++;
    g_hash_table_insert(f->by_node, g_strdup(node),
                        GINT_TO_POINTER(handle + 1));
    return handle;
}

/* Forget earlier failures: it answers again, or is another instance. */
static void
instance_clear(instance_member *m)
{
    m->unreachable = 0;
    m->rest_until_us = 0;
    m->lost = false;
}

/* Take in what a node said; false where it is old, or there is no room. */
bool
instance_update(instance_table *f, const instance_record *record)
{
    int handle = instance_find(f, record->node);
    if (handle == INSTANCE_NONE) {
        handle = instance_add(f, record->node);
        if (handle == INSTANCE_NONE) {
            return false;
        }
    }
    else if (!instance_is_newer(record, &f->members[handle].record)) {
        return false;
    }
    instance_member *m = &f->members[handle];
    bool same = strcmp(m->record.instance, record->instance) == 0 &&
                m->record.born_ms == record->born_ms &&
                m->record.incarnation == record->incarnation;
    instance_group_remove(f, handle);
    m->record = *record;
    m->service = (uint32_t)id_hash(record->service);
    instance_group_add(f, handle);
    m->report.state = record->state;
    if (!same) {
        m->report = (instance_load_report){.limit = record->slots,
                                           .state = record->state};
        m->reported_us = 0;
        m->since = 0;
        instance_clear(m);
    }
    return true;
}

/* Forget a node whose entry was taken away, if no newer start of it is
 * known. */
void
instance_remove(instance_table *f, const char *node, uint64_t incarnation)
{
    int handle = instance_find(f, node);
    if (handle != INSTANCE_NONE &&
        f->members[handle].record.incarnation <= incarnation) {
        instance_group_remove(f, handle);
        f->members[handle].known = false;
        f->known_count--;
        g_hash_table_remove(f->by_node, node);
    }
}

/* The record behind a handle; NULL where it is forgotten. */
const instance_record *
instance_get(const instance_table *f, int handle)
{
    if (handle < 0 || handle >= f->count || !f->members[handle].known) {
        return NULL;
    }
    return &f->members[handle].record;
}

/* Handles are below this. */
int
instance_count(const instance_table *f)
{
    return f->count;
}

/* Whether it was ready when it last said so of itself.  What its node
 * reports with answers only makes it rest: an instance may be back before
 * that can be made known. */
static bool
instance_is_usable(const instance_member *m, const char *service)
{
    return m->known && m->record.state == INSTANCE_READY &&
           strcmp(m->record.service, service) == 0;
}

/* Whether the instance there may be sent calls for a service. */
bool
instance_serves(const instance_table *f, int handle, const char *service)
{
    return handle >= 0 && handle < f->count &&
           instance_is_usable(&f->members[handle], service) &&
           !f->members[handle].lost;
}

/* Part of the nodes that stand beside a service, by the hash of its name. */
double
instance_service_share(const instance_table *f, uint32_t service)
{
    const GArray *group = instance_group(f, service);
    return group == NULL || f->known_count == 0
               ? 0
               : (double)group->len / f->known_count;
}

/* Name of the service with that hash; empty where no node stands beside it. */
const char *
instance_service_name(const instance_table *f, uint32_t service)
{
    const GArray *group = instance_group(f, service);
    return group == NULL || group->len == 0
               ? ""
               : f->members[g_array_index(group, int, 0)].record.service;
}

/* Calls there for each that may run at once, as best as can be told. */
double
instance_relative_load(const instance_table *f, int handle, int64_t now_us)
{
    const instance_member *m = &f->members[handle];
    int limit = m->report.limit > 0 ? m->report.limit : 1;
    int64_t age_us = now_us - m->reported_us;
    double busy = m->report.busy;
    if (age_us > INSTANCE_REPORT_MAX_AGE_US) {
        busy *= (double)INSTANCE_REPORT_MAX_AGE_US / (double)age_us;
    }
    busy += m->since;
    return MAX(busy, m->outstanding) / limit;
}

/* Any node but `self` that can be reached, each as likely; INSTANCE_NONE where
 * there is none. */
int
instance_pick_other_node(instance_table *f, const char *self)
{
    int start = f->count > 0 ? g_rand_int_range(f->random, 0, f->count) : 0;
    for (int i = 0; i < f->count; i++) {
        int handle = (start + i) % f->count;
        const instance_member *m = &f->members[handle];
        if (m->known && !m->lost && strcmp(m->record.node, self) != 0) {
            return handle;
        }
    }
    return INSTANCE_NONE;
}

static bool
instance_was_tried(const instance_query *choice, int handle)
{
    for (int i = 0; i < choice->tried_count; i++) {
        if (choice->tried[i] == handle) {
            return true;
        }
    }
    return false;
}

/* The shortest mean time of a call at the instances of a service. */
static int
instance_fastest_us(const instance_table *f, const GArray *group,
                    const char *service)
{
    int fastest_us = 0;
    for (guint i = 0; i < group->len; i++) {
        const instance_member *m = &f->members[g_array_index(group, int, i)];
        if (instance_is_usable(m, service) && m->report.call_us > 0 &&
            (fastest_us == 0 || m->report.call_us < fastest_us)) {
            fastest_us = m->report.call_us;
        }
    }
    return fastest_us;
}

static double
instance_cost(const instance_table *f, int handle, const char *zone,
              int fastest_us, int64_t now_us)
{
    const instance_member *m = &f->members[handle];
    double cost = instance_relative_load(f, handle, now_us);
    if (m->report.call_us > 0 && fastest_us > 0) {
        double slower = (double)m->report.call_us / fastest_us;
        cost += INSTANCE_SPEED_WEIGHT * (1 - 1 / slower);
        if (slower > INSTANCE_SPEED_RATIO_NORMAL) {
            cost += INSTANCE_SLOW_WEIGHT *
                    log2(slower / INSTANCE_SPEED_RATIO_NORMAL);
        }
    }
    cost += m->report.failures_permille / 1000.0 * INSTANCE_FAILURE_WEIGHT;
    if (m->report.state == INSTANCE_STOPPING) {
        cost += INSTANCE_STOPPING_COST;
    }
    if (strcmp(m->record.zone, zone) != 0) {
        cost += INSTANCE_ZONE_COST;
    }
    return cost + g_rand_double_range(f->random, 0, INSTANCE_JITTER);
}

/* The instance for a call, or INSTANCE_NONE.  One that rests is only taken when
 * all rest, the one first whose rest ends first. */
int
instance_pick(instance_table *f, const instance_query *choice, int64_t now_us)
{
    int best = INSTANCE_NONE;
    int resting = INSTANCE_NONE;
    bool all_rest = true;
    double least = 0;
    const GArray *group =
        instance_group(f, (uint32_t)id_hash(choice->service));
    if (group == NULL) {
        return INSTANCE_NONE;
    }
    int fastest_us = instance_fastest_us(f, group, choice->service);
    for (guint at = 0; at < group->len; at++) {
        int i = g_array_index(group, int, at);
        const instance_member *m = &f->members[i];
        bool rests = m->lost || now_us < m->rest_until_us;
        if (!instance_is_usable(m, choice->service)) {
            continue;
        }
        all_rest = all_rest && rests;
        if (instance_was_tried(choice, i)) {
            continue;
        }
        if (rests) {
            if (resting == INSTANCE_NONE ||
                m->rest_until_us < f->members[resting].rest_until_us) {
                resting = i;
            }
            continue;
        }
        double cost = instance_cost(f, i, choice->zone, fastest_us, now_us);
        if (best == INSTANCE_NONE || cost < least) {
            best = i;
            least = cost;
        }
    }
    return all_rest ? resting : best;
}

/* A call went there. */
void
instance_add_call(instance_table *f, int handle)
{
    f->members[handle].outstanding++;
    f->members[handle].since++;
}

/* A call there is over, however it ended. */
void
instance_remove_call(instance_table *f, int handle)
{
    f->members[handle].outstanding--;
}

/* Its node answered and reported. */
void
instance_set_load(instance_table *f, int handle,
                  const instance_load_report *report, int64_t now_us)
{
    instance_member *m = &f->members[handle];
    m->report = *report;
    m->reported_us = now_us;
    m->since = 0;
    instance_clear(m);
    bool serves =
        report->state == INSTANCE_READY || report->state == INSTANCE_STOPPING;
    m->rest_until_us = serves ? 0 : now_us + INSTANCE_UNAVAILABLE_RECHECK_US;
}

/* Its node could not be reached, or another instance answered: no call goes
 * there while there are others, until its node has been asked. */
void
instance_mark_unreachable(instance_table *f, int handle, int64_t now_us)
{
    instance_member *m = &f->members[handle];
    int64_t rest_us = INSTANCE_BACKOFF_MIN_US;
    for (int i = 0; i < m->unreachable && rest_us < INSTANCE_BACKOFF_MAX_US;
         i++) {
        rest_us *= 2;
    }
    m->unreachable++;
    m->rest_until_us = now_us + MIN(rest_us, INSTANCE_BACKOFF_MAX_US);
    if (!m->lost) {
        m->lost = true;
        m->lost_us = now_us;
    }
}

/* A lost one whose node is to be asked now, or INSTANCE_NONE; the next time is
 * later each time. */
int
instance_next_to_probe(instance_table *f, int64_t now_us)
{
    for (int i = 0; i < f->count; i++) {
        const instance_member *m = &f->members[i];
        if (m->known && m->lost && now_us >= m->rest_until_us) {
            instance_mark_unreachable(f, i, now_us);
            return i;
        }
    }
    return INSTANCE_NONE;
}

/* How long it has been lost; -1: it isn't. */
int64_t
instance_unreachable_for_us(const instance_table *f, int handle,
                            int64_t now_us)
{
    const instance_member *m = &f->members[handle];
    return m->known && m->lost ? now_us - m->lost_us : -1;
}

/* Its node has answered and is what its record says. */
void
instance_mark_reachable(instance_table *f, int handle)
{
    instance_clear(&f->members[handle]);
}

/* Name of a state in messages and logs. */
const char *
instance_state_name(enum instance_state state)
{
    return instance_state_names[state];
}

/* State of that name; ERR_INVALID where there is none. */
int
instance_state_parse(enum instance_state *out, const char *name)
{
    for (int i = INSTANCE_STARTING; i <= INSTANCE_GONE; i++) {
        if (strcmp(name, instance_state_names[i]) == 0) {
            *out = (enum instance_state)i;
            return 0;
        }
    }
    return ERR_INVALID;
}
