/*
 * harness_objects: what the stand-in of the platform's store holds: objects by
 * kind and name with revisions, and the events of their changes.  The caller
 * of functions without a comment on it holds harness_lock.
 */
#ifndef LAV_HARNESS_OBJECTS_H
#define LAV_HARNESS_OBJECTS_H

#include <jansson.h>

#include "harness_private.h"

typedef struct harness_object {
    char kind[32];
    char name[64];
    json_t *object; /* NULL: the slot is free */
} harness_object;

void harness_objects_reset(void);
harness_object *harness_find_object(const char *kind, const char *name);
harness_object *harness_put_object(const char *kind, const char *name,
                                   json_t *spec);
void harness_remove_object(harness_object *o);
long harness_object_revision(const harness_object *o);
json_t *harness_list_objects(const char *kind);
json_t *harness_list_events(const char *kind, long after, int64_t until_us);
bool harness_has_history(long after);
void harness_format_era(char *out, size_t size);
char *harness_insert_raw_texts(char *response);

#endif
