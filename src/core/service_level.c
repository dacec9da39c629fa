#include "lav/service_level.h"

#include <glib.h>
#include <math.h>

/* Returns the entry of a service; NULL if it has none. */
static service_level_entry *
service_level_find(const service_level_table *table, uint32_t service)
{
    for (int i = 0; i < table->count; i++) {
        if (table->entries[i].service == service) {
            return (service_level_entry *)&table->entries[i];
        }
    }
    return NULL;
}

/* Whether an entry has limited requests, and was measured, so recently that it
 * is reported. */
static bool
service_level_is_reported(const service_level_entry *entry, int64_t now_us)
{
    return now_us - entry->limited_at_us <= SERVICE_LEVEL_REPORTED_US &&
           now_us - entry->measured_at_us <= SERVICE_LEVEL_REPORTED_US;
}

/* Adds an entry for a service, in place of one that is no longer reported if
 * the table is full; NULL if all are in use. */
static service_level_entry *
service_level_add(service_level_table *table, uint32_t service, int64_t now_us)
{
    service_level_entry *entry = NULL;
    if (table->count < SERVICE_LEVEL_SERVICES_MAX) {
        entry = &table->entries[table->count++];
    }
    for (int i = 0; entry == NULL && i < table->count; i++) {
        if (!service_level_is_reported(&table->entries[i], now_us)) {
            entry = &table->entries[i];
        }
    }
    if (entry != NULL) {
        *entry = (service_level_entry){.service = service};
    }
    return entry;
}

/* Merges a report that was measured here or came from another node.  One that
 * is old, or not newer than what is known, is ignored, and so is one about a
 * service that has not been limited.  What an instance measured is averaged with those
 * of others; an average that another node made is taken as it is. */
void
service_level_merge(service_level_table *table,
                    const service_level_report *report, int64_t now_us)
{
    int64_t measured_at_us = now_us - report->age_us;
    service_level_entry *entry = service_level_find(table, report->service);
    if (entry == NULL) {
        if (report->service == 0 || report->level >= 1 ||
            report->age_us > SERVICE_LEVEL_REPORTED_US) {
            return;
        }
        entry = service_level_add(table, report->service, now_us);
        if (entry == NULL) {
            return; /* other services limit requests already */
        }
        entry->level = report->level;
        entry->measured_at_us = measured_at_us;
        entry->limited_at_us = now_us;
        return;
    }
    int64_t newer_us = measured_at_us - entry->measured_at_us;
    if (newer_us <= 0) {
        return;
    }
    double weight =
        report->direct
            ? MIN((double)newer_us / (double)SERVICE_LEVEL_AVERAGE_US, 1)
            : 1;
    entry->level += (report->level - entry->level) * weight;
    entry->level = CLAMP(entry->level, SERVICE_LEVEL_MIN, SERVICE_LEVEL_MAX);
    entry->measured_at_us = measured_at_us;
    if (entry->level < 1) {
        entry->limited_at_us = now_us;
    }
}

/* Returns the level of an entry, which rises if no report has confirmed it. */
static double
service_level_current(const service_level_entry *entry, int64_t now_us)
{
    int64_t unconfirmed_us =
        now_us - entry->measured_at_us - SERVICE_LEVEL_CONFIRMED_US;
    if (unconfirmed_us <= 0) {
        return MIN(entry->level, 1);
    }
    return MIN(entry->level * exp2((double)unconfirmed_us /
                                   (double)SERVICE_LEVEL_DOUBLING_US),
               1);
}

/* Returns the share of the requests that lead to a service that is admitted,
 * 0 to 1; 1 for a service that nothing is known of. */
double
service_level_get(const service_level_table *table, uint32_t service,
                  int64_t now_us)
{
    const service_level_entry *entry = service_level_find(table, service);
    return entry == NULL ? 1 : service_level_current(entry, now_us);
}

/* Returns the age of the newest report on a service, in us; -1 if there is
 * none. */
int64_t
service_level_age_us(const service_level_table *table, uint32_t service,
                     int64_t now_us)
{
    const service_level_entry *entry = service_level_find(table, service);
    return entry == NULL ? -1 : now_us - entry->measured_at_us;
}

/* Lists the levels to tell another node, the lowest first, at most `max`, but
 * for that of the service `except`.  Returns their number. */
int
service_level_list(service_level_report *out, int max,
                   const service_level_table *table, uint32_t except,
                   int64_t now_us)
{
    int count = 0;
    for (int i = 0; i < table->count; i++) {
        const service_level_entry *entry = &table->entries[i];
        if (entry->service == except ||
            !service_level_is_reported(entry, now_us)) {
            continue;
        }
        int at = MIN(count, max - 1);
        if (count == max && out[at].level <= entry->level) {
            continue;
        }
        for (; at > 0 && out[at - 1].level > entry->level; at--) {
            out[at] = out[at - 1];
        }
        out[at] =
            (service_level_report){entry->service, entry->level,
                                   now_us - entry->measured_at_us, false};
        count = MIN(count + 1, max);
    }
    return count;
}
