/* The choice of an instance for a call. */
#include <math.h>
#include <string.h>

#include "instance_private.h"
#include "lav/id.h"

/* Returns how much a report counts by its age, 0 to 1. */
static double
instance_report_weight(const instance_entry *entry, int64_t now_us)
{
    int64_t age_us = now_us - entry->reported_at_us;
    return age_us > INSTANCE_REPORT_MAX_AGE_US
               ? (double)INSTANCE_REPORT_MAX_AGE_US / (double)age_us
               : 1;
}

/* Returns the estimated number of calls at an instance, as a fraction of its
 * limit.  A report older than INSTANCE_REPORT_MAX_AGE_US counts for less, in
 * proportion to its age. */
double
instance_relative_load(const instance_table *table, int handle, int64_t now_us)
{
    const instance_entry *entry = &table->entries[handle];
    int limit = entry->report.limit > 0 ? entry->report.limit : 1;
    double busy = entry->report.busy * instance_report_weight(entry, now_us) +
                  entry->sent_since_report;
    return MAX(busy, entry->outstanding) / limit;
}

/* Whether the query excludes an instance. */
static bool
instance_was_tried(const instance_query *query, int handle)
{
    for (int i = 0; i < query->tried_count; i++) {
        if (query->tried[i] == handle) {
            return true;
        }
    }
    return false;
}

/* The fastest instances of a service. */
typedef struct instance_speeds {
    int fastest_us; /* by mean call time; 0: not known */
    int least_us;   /* by what a call takes now; 0: no instance tells it */
} instance_speeds;

/* Adds what a ready instance tells to the shortest times.  One most of whose
 * calls fail doesn't count for the mean: beside the few that it served, others
 * would seem slow, and its failures would weigh less than that. */
static void
instance_add_speed(instance_speeds *speeds, const instance_load_report *report)
{
    if (report->call_us > 0 &&
        report->failures_permille < INSTANCE_FAILING_PERMILLE &&
        (speeds->fastest_us == 0 || report->call_us < speeds->fastest_us)) {
        speeds->fastest_us = report->call_us;
    }
    if (report->work_us > 0 &&
        (speeds->least_us == 0 || report->work_us < speeds->least_us)) {
        speeds->least_us = report->work_us;
    }
}

/* Returns the shortest times that the ready instances of a service tell. */
static instance_speeds
instance_find_speeds(const instance_table *table, const GArray *group,
                     const char *service)
{
    instance_speeds speeds = {0, 0};
    for (guint i = 0; i < group->len; i++) {
        const instance_entry *entry =
            &table->entries[g_array_index(group, int, i)];
        if (instance_is_ready(entry, service)) {
            instance_add_speed(&speeds, &entry->report);
        }
    }
    return speeds;
}

/* Returns the cost of load, speed and distance of an instance of a service
 * whose instances tell what a call takes now, at least `least_us`. */
static double
instance_told_cost(const instance_table *table, int handle, const char *zone,
                   int least_us, int64_t now_us)
{
    const instance_entry *entry = &table->entries[handle];
    double cost = instance_relative_load(table, handle, now_us);
    if (entry->report.work_us > 0) {
        cost += INSTANCE_TOLD_SPEED_WEIGHT *
                (1 - (double)least_us / entry->report.work_us);
    }
    if (strcmp(entry->record.zone, zone) != 0) {
        cost += INSTANCE_TOLD_ZONE_COST;
    }
    return cost;
}

/* Returns the cost of load, speed and distance of an instance of a service
 * whose fastest instance takes `fastest_us`. */
static double
instance_plain_cost(const instance_table *table, int handle, const char *zone,
                    int fastest_us, int64_t now_us)
{
    const instance_entry *entry = &table->entries[handle];
    double cost = instance_relative_load(table, handle, now_us);
    if (fastest_us > 0 && entry->report.call_us > fastest_us) {
        double slower = (double)entry->report.call_us / fastest_us;
        cost += INSTANCE_SPEED_WEIGHT * (1 - 1 / slower);
        if (slower > INSTANCE_SPEED_RATIO_NORMAL) {
            cost += INSTANCE_SLOW_WEIGHT *
                    log2(slower / INSTANCE_SPEED_RATIO_NORMAL);
        }
    }
    if (strcmp(entry->record.zone, zone) != 0) {
        cost += INSTANCE_ZONE_COST;
    }
    return cost;
}

/* Returns the share of calls that fail at an instance, 0 to 1.  Where instances
 * tell what a call takes, an old report counts for less, like its load: one
 * that was left alone as it failed has no other way to show that it serves. */
static double
instance_failure_share(const instance_entry *entry,
                       const instance_speeds *speeds, int64_t now_us)
{
    double share = entry->report.failures_permille / 1000.0;
    return speeds->least_us > 0 ? share * instance_report_weight(entry, now_us)
                                : share;
}

/* Returns the cost of sending a call to an instance, as a fraction of its
 * limit: its load and the penalties of instance.h. */
static double
instance_cost(const instance_table *table, int handle, const char *zone,
              const instance_speeds *speeds, int64_t now_us)
{
    const instance_entry *entry = &table->entries[handle];
    double cost =
        speeds->least_us > 0
            ? instance_told_cost(table, handle, zone, speeds->least_us, now_us)
            : instance_plain_cost(table, handle, zone, speeds->fastest_us,
                                  now_us);
    cost += instance_failure_share(entry, speeds, now_us) *
            INSTANCE_FAILURE_WEIGHT;
    if (entry->report.state == INSTANCE_STOPPING) {
        cost += INSTANCE_STOPPING_COST;
    }
    return cost + g_rand_double_range(table->random, 0, INSTANCE_JITTER);
}

/* Returns the limit that an instance has named in the responses that this node
 * relayed, also if the node beside it has restarted since. */
instance_rate
instance_get_rate(const instance_table *table, int handle)
{
    const instance_record *record = &table->entries[handle].record;
    const instance_note *note =
        instance_notes_get(table->notes, record->instance, record->born_ms);
    return note == NULL ? (instance_rate){0} : note->rate;
}

/* Whether an instance takes retries, as far as is known. */
bool
instance_takes_retries(const instance_table *table, int handle, int64_t now_us)
{
    const instance_entry *entry = &table->entries[handle];
    return !entry->report.no_retries ||
           now_us - entry->reported_at_us > INSTANCE_NO_RETRIES_MAX_AGE_US;
}

/* Whether any ready instance of a service takes retries, as far as is known;
 * true if the service has none. */
bool
instance_service_takes_retries(const instance_table *table,
                               const char *service, int64_t now_us)
{
    const GArray *group = instance_group(table, (uint32_t)id_hash(service));
    bool any_ready = false;
    for (guint at = 0; group != NULL && at < group->len; at++) {
        int i = g_array_index(group, int, at);
        if (!instance_is_ready(&table->entries[i], service)) {
            continue;
        }
        any_ready = true;
        if (instance_takes_retries(table, i, now_us)) {
            return true;
        }
    }
    return !any_ready;
}

/* Returns the handle of the instance for a call, or INSTANCE_NONE.  Instances
 * that back off are only chosen when all of them do, starting with the one
 * whose backoff ends first. */
int
instance_pick(instance_table *table, const instance_query *query,
              int64_t now_us)
{
    int best = INSTANCE_NONE;
    int first_to_retry = INSTANCE_NONE;
    bool all_backing_off = true;
    double lowest_cost = 0;
    const GArray *group =
        instance_group(table, (uint32_t)id_hash(query->service));
    if (group == NULL) {
        return INSTANCE_NONE;
    }
    instance_speeds speeds =
        instance_find_speeds(table, group, query->service);
    for (guint at = 0; at < group->len; at++) {
        int i = g_array_index(group, int, at);
        const instance_entry *entry = &table->entries[i];
        bool backing_off =
            entry->awaiting_probe || now_us < entry->retry_at_us;
        if (!instance_is_ready(entry, query->service) ||
            (entry->leaving && now_us >= entry->leaving_cutoff_us)) {
            continue;
        }
        all_backing_off = all_backing_off && backing_off;
        if (instance_was_tried(query, i) ||
            (query->retry && !instance_takes_retries(table, i, now_us))) {
            continue;
        }
        if (backing_off) {
            if (first_to_retry == INSTANCE_NONE ||
                entry->retry_at_us <
                    table->entries[first_to_retry].retry_at_us) {
                first_to_retry = i;
            }
            continue;
        }
        double cost = instance_cost(table, i, query->zone, &speeds, now_us);
        if (best == INSTANCE_NONE || cost < lowest_cost) {
            best = i;
            lowest_cost = cost;
        }
    }
    return all_backing_off ? first_to_retry : best;
}
