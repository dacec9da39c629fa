#include "lav/flt.h"

#include <glib.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "lav/err.h"
#include "lav/id.h"

typedef struct flt_member {
    flt_record record;
    bool known;
    uint32_t service; /* hash of its name */
    flt_report report;
    int64_t reported_us;
    int outstanding; /* calls of this node that are under way there */
    int since;       /* of those, sent since the last report */
    int unreachable; /* tries in a row */
    int64_t rest_until_us;
    bool lost; /* no call goes there until its node has been asked */
    int64_t lost_us;
} flt_member;

struct flt {
    flt_member *members;
    int count;
    int known_count;
    GHashTable *by_node;    /* node -> handle + 1 */
    GHashTable *by_service; /* hash of a service -> GArray of handles */
    GRand *random;
};

static const char *const flt_state_names[] = {"starting", "ready", "stopping",
                                              "draining", "gone"};

/* Make an empty fleet; `seed` of the choice among equals. */
int
flt_new(flt **out, uint64_t seed)
{
    flt *f = calloc(1, sizeof(*f));
    if (f == NULL) {
        return ERR_NO_MEMORY;
    }
    f->members = calloc(FLT_MEMBERS_MAX, sizeof(*f->members));
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
flt_free(flt *f)
{
    if (f != NULL) {
        g_hash_table_destroy(f->by_node);
        g_hash_table_destroy(f->by_service);
        g_rand_free(f->random);
        free(f->members);
        free(f);
    }
}

/* Handle of a node, or FLT_NONE. */
int
flt_find(const flt *f, const char *node)
{
    return GPOINTER_TO_INT(g_hash_table_lookup(f->by_node, node)) - 1;
}

/* Handles of the members beside a service, in no order; NULL: none was ever
 * known. */
static GArray *
flt_group(const flt *f, uint32_t service)
{
    return g_hash_table_lookup(f->by_service, GUINT_TO_POINTER(service));
}

static void
flt_group_add(flt *f, int handle)
{
    uint32_t service = f->members[handle].service;
    GArray *group = flt_group(f, service);
    if (group == NULL) {
        group = g_array_new(FALSE, FALSE, sizeof(int));
        g_hash_table_insert(f->by_service, GUINT_TO_POINTER(service), group);
    }
    g_array_append_val(group, handle);
}

static void
flt_group_remove(flt *f, int handle)
{
    GArray *group = flt_group(f, f->members[handle].service);
    for (guint i = 0; group != NULL && i < group->len; i++) {
        if (g_array_index(group, int, i) == handle) {
            g_array_remove_index_fast(group, i);
            return;
        }
    }
}

/* Whether `a` was said after `b`. */
static bool
flt_newer(const flt_record *a, const flt_record *b)
{
    if (a->incarnation != b->incarnation) {
        return a->incarnation > b->incarnation;
    }
    return a->sequence > b->sequence;
}

/* A member for a node that is not known yet; FLT_NONE where there is no
 * room. */
static int
flt_add(flt *f, const char *node)
{
    int handle = f->count;
    for (int i = 0; i < f->count && handle == f->count; i++) {
        if (!f->members[i].known && f->members[i].outstanding == 0) {
            handle = i;
        }
    }
    if (handle == FLT_MEMBERS_MAX) {
        return FLT_NONE;
    }
    if (handle == f->count) {
        f->count++;
    }
    f->members[handle] = (flt_member){.known = true};
    f->known_count++;
    g_hash_table_insert(f->by_node, g_strdup(node),
                        GINT_TO_POINTER(handle + 1));
    return handle;
}

/* Forget earlier failures: it answers again, or is another instance. */
static void
flt_clear(flt_member *m)
{
    m->unreachable = 0;
    m->rest_until_us = 0;
    m->lost = false;
}

/* Take in what a node said; false where it is old, or there is no room. */
bool
flt_merge(flt *f, const flt_record *record)
{
    int handle = flt_find(f, record->node);
    if (handle == FLT_NONE) {
        handle = flt_add(f, record->node);
        if (handle == FLT_NONE) {
            return false;
        }
    }
    else if (!flt_newer(record, &f->members[handle].record)) {
        return false;
    }
    flt_member *m = &f->members[handle];
    bool same = strcmp(m->record.instance, record->instance) == 0 &&
                m->record.born_ms == record->born_ms &&
                m->record.incarnation == record->incarnation;
    flt_group_remove(f, handle);
    m->record = *record;
    m->service = (uint32_t)id_hash(record->service);
    flt_group_add(f, handle);
    m->report.state = record->state;
    if (!same) {
        m->report =
            (flt_report){.limit = record->slots, .state = record->state};
        m->reported_us = 0;
        m->since = 0;
        flt_clear(m);
    }
    return true;
}

/* Forget a node whose entry was taken away, if no newer start of it is
 * known. */
void
flt_remove(flt *f, const char *node, uint64_t incarnation)
{
    int handle = flt_find(f, node);
    if (handle != FLT_NONE &&
        f->members[handle].record.incarnation <= incarnation) {
        flt_group_remove(f, handle);
        f->members[handle].known = false;
        f->known_count--;
        g_hash_table_remove(f->by_node, node);
    }
}

/* The record behind a handle; NULL where it is forgotten. */
const flt_record *
flt_get(const flt *f, int handle)
{
    if (handle < 0 || handle >= f->count || !f->members[handle].known) {
        return NULL;
    }
    return &f->members[handle].record;
}

/* Handles are below this. */
int
flt_count(const flt *f)
{
    return f->count;
}

/* Whether it was ready when it last said so of itself.  What its node
 * reports with answers only makes it rest: an instance may be back before
 * that can be made known. */
static bool
flt_usable(const flt_member *m, const char *service)
{
    return m->known && m->record.state == FLT_READY &&
           strcmp(m->record.service, service) == 0;
}

/* Whether the instance there may be sent calls for a service. */
bool
flt_serves(const flt *f, int handle, const char *service)
{
    return handle >= 0 && handle < f->count &&
           flt_usable(&f->members[handle], service) &&
           !f->members[handle].lost;
}

/* Part of the nodes that stand beside a service, by the hash of its name. */
double
flt_share(const flt *f, uint32_t service)
{
    const GArray *group = flt_group(f, service);
    return group == NULL || f->known_count == 0
               ? 0
               : (double)group->len / f->known_count;
}

/* Name of the service with that hash; empty where no node stands beside it. */
const char *
flt_service_name(const flt *f, uint32_t service)
{
    const GArray *group = flt_group(f, service);
    return group == NULL || group->len == 0
               ? ""
               : f->members[g_array_index(group, int, 0)].record.service;
}

/* Calls there for each that may run at once, as best as can be told. */
double
flt_load(const flt *f, int handle, int64_t now_us)
{
    const flt_member *m = &f->members[handle];
    int limit = m->report.limit > 0 ? m->report.limit : 1;
    int64_t age_us = now_us - m->reported_us;
    double busy = m->report.busy;
    if (age_us > FLT_REPORT_KEEP_US) {
        busy *= (double)FLT_REPORT_KEEP_US / (double)age_us;
    }
    busy += m->since;
    return MAX(busy, m->outstanding) / limit;
}

/* Any node but `self` that can be reached, each as likely; FLT_NONE where
 * there is none. */
int
flt_other(flt *f, const char *self)
{
    int start = f->count > 0 ? g_rand_int_range(f->random, 0, f->count) : 0;
    for (int i = 0; i < f->count; i++) {
        int handle = (start + i) % f->count;
        const flt_member *m = &f->members[handle];
        if (m->known && !m->lost && strcmp(m->record.node, self) != 0) {
            return handle;
        }
    }
    return FLT_NONE;
}

static bool
flt_tried(const flt_choice *choice, int handle)
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
flt_fastest_us(const flt *f, const GArray *group, const char *service)
{
    int fastest_us = 0;
    for (guint i = 0; i < group->len; i++) {
        const flt_member *m = &f->members[g_array_index(group, int, i)];
        if (flt_usable(m, service) && m->report.call_us > 0 &&
            (fastest_us == 0 || m->report.call_us < fastest_us)) {
            fastest_us = m->report.call_us;
        }
    }
    return fastest_us;
}

static double
flt_cost(const flt *f, int handle, const char *zone, int fastest_us,
         int64_t now_us)
{
    const flt_member *m = &f->members[handle];
    double cost = flt_load(f, handle, now_us);
    if (m->report.call_us > 0 && fastest_us > 0) {
        double slower = (double)m->report.call_us / fastest_us;
        cost += FLT_SPEED_WEIGHT * (1 - 1 / slower);
        if (slower > FLT_SPEED_USUAL) {
            cost += FLT_SLOW_WEIGHT * log2(slower / FLT_SPEED_USUAL);
        }
    }
    cost += m->report.failures_permille / 1000.0 * FLT_FAILURE_WEIGHT;
    if (m->report.state == FLT_STOPPING) {
        cost += FLT_STOPPING_COST;
    }
    if (strcmp(m->record.zone, zone) != 0) {
        cost += FLT_ZONE_STEP;
    }
    return cost + g_rand_double_range(f->random, 0, FLT_JITTER);
}

/* The instance for a call, or FLT_NONE.  One that rests is only taken when
 * all rest, the one first whose rest ends first. */
int
flt_pick(flt *f, const flt_choice *choice, int64_t now_us)
{
    int best = FLT_NONE;
    int resting = FLT_NONE;
    bool all_rest = true;
    double least = 0;
    const GArray *group = flt_group(f, (uint32_t)id_hash(choice->service));
    if (group == NULL) {
        return FLT_NONE;
    }
    int fastest_us = flt_fastest_us(f, group, choice->service);
    for (guint at = 0; at < group->len; at++) {
        int i = g_array_index(group, int, at);
        const flt_member *m = &f->members[i];
        bool rests = m->lost || now_us < m->rest_until_us;
        if (!flt_usable(m, choice->service)) {
            continue;
        }
        all_rest = all_rest && rests;
        if (flt_tried(choice, i)) {
            continue;
        }
        if (rests) {
            if (resting == FLT_NONE ||
                m->rest_until_us < f->members[resting].rest_until_us) {
                resting = i;
            }
            continue;
        }
        double cost = flt_cost(f, i, choice->zone, fastest_us, now_us);
        if (best == FLT_NONE || cost < least) {
            best = i;
            least = cost;
        }
    }
    return all_rest ? resting : best;
}

/* A call went there. */
void
flt_sent(flt *f, int handle)
{
    f->members[handle].outstanding++;
    f->members[handle].since++;
}

/* A call there is over, however it ended. */
void
flt_done(flt *f, int handle)
{
    f->members[handle].outstanding--;
}

/* Its node answered and reported. */
void
flt_reported(flt *f, int handle, const flt_report *report, int64_t now_us)
{
    flt_member *m = &f->members[handle];
    m->report = *report;
    m->reported_us = now_us;
    m->since = 0;
    flt_clear(m);
    bool serves = report->state == FLT_READY || report->state == FLT_STOPPING;
    m->rest_until_us = serves ? 0 : now_us + FLT_AWAY_US;
}

/* Its node could not be reached, or another instance answered: no call goes
 * there while there are others, until its node has been asked. */
void
flt_unreachable(flt *f, int handle, int64_t now_us)
{
    flt_member *m = &f->members[handle];
    int64_t rest_us = FLT_REST_MIN_US;
    for (int i = 0; i < m->unreachable && rest_us < FLT_REST_MAX_US; i++) {
        rest_us *= 2;
    }
    m->unreachable++;
    m->rest_until_us = now_us + MIN(rest_us, FLT_REST_MAX_US);
    if (!m->lost) {
        m->lost = true;
        m->lost_us = now_us;
    }
}

/* A lost one whose node is to be asked now, or FLT_NONE; the next time is
 * later each time. */
int
flt_next_lost(flt *f, int64_t now_us)
{
    for (int i = 0; i < f->count; i++) {
        const flt_member *m = &f->members[i];
        if (m->known && m->lost && now_us >= m->rest_until_us) {
            flt_unreachable(f, i, now_us);
            return i;
        }
    }
    return FLT_NONE;
}

/* How long it has been lost; -1: it isn't. */
int64_t
flt_lost_for_us(const flt *f, int handle, int64_t now_us)
{
    const flt_member *m = &f->members[handle];
    return m->known && m->lost ? now_us - m->lost_us : -1;
}

/* Its node has answered and is what its record says. */
void
flt_found(flt *f, int handle)
{
    flt_clear(&f->members[handle]);
}

/* Name of a state in messages and logs. */
const char *
flt_state_name(enum flt_state state)
{
    return flt_state_names[state];
}

/* State of that name; ERR_INVALID where there is none. */
int
flt_state_parse(enum flt_state *out, const char *name)
{
    for (int i = FLT_STARTING; i <= FLT_GONE; i++) {
        if (strcmp(name, flt_state_names[i]) == 0) {
            *out = (enum flt_state)i;
            return 0;
        }
    }
    return ERR_INVALID;
}
