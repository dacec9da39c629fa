/*
 * instance_notes: what instances have said of themselves in the responses that
 * this node relayed, by the start of the instance.  Kept apart from the
 * records and reports of the fleet, which begin anew when the node beside an
 * instance restarts: the instance doesn't, and what it said still holds.
 */
#ifndef LAV_INSTANCE_NOTES_H
#define LAV_INSTANCE_NOTES_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Instances remembered; beyond that, the one that was noted longest ago is
 * forgotten. */
#define INSTANCE_NOTES_MAX 1024

/* The limit of requests a second that an instance has named. */
typedef struct instance_rate {
    bool limited;
    double per_s; /* if limited */
} instance_rate;

typedef struct instance_note {
    int64_t born_ms; /* Unix time of the instance's start */
    instance_rate rate;
    bool leaving;
    int64_t leaving_cutoff_us; /* if leaving: no new requests from then on */
    int64_t noted_us;
} instance_note;

typedef struct instance_notes instance_notes;

int instance_notes_new(instance_notes **out);
void instance_notes_free(instance_notes *notes);
void instance_notes_set_rate(instance_notes *notes, const char *instance,
                             int64_t born_ms, const instance_rate *rate,
                             int64_t now_us);
void instance_notes_set_leaving(instance_notes *notes, const char *instance,
                                int64_t born_ms, int64_t cutoff_us,
                                int64_t now_us);
const instance_note *instance_notes_get(const instance_notes *notes,
                                        const char *instance, int64_t born_ms);

#ifdef __cplusplus
}
#endif

#endif
