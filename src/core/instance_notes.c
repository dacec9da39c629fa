#include "lav/instance_notes.h"

#include <glib.h>
#include <stdlib.h>

#include "lav/err.h"

struct instance_notes {
    GHashTable *by_instance; /* instance name -> instance_note */
};

/* Creates an empty table.  ERR_NO_MEMORY if memory is exhausted. */
int
instance_notes_new(instance_notes **out)
{
    instance_notes *notes = calloc(1, sizeof(*notes));
    if (notes == NULL) {
        return ERR_NO_MEMORY;
    }
    notes->by_instance =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    *out = notes;
    return 0;
}

/* Frees the table; NULL is allowed. */
void
instance_notes_free(instance_notes *notes)
{
    if (notes != NULL) {
        g_hash_table_destroy(notes->by_instance);
        free(notes);
    }
}

/* Forgets the instance that was noted longest ago. */
static void
instance_notes_forget_oldest(instance_notes *notes)
{
    GHashTableIter iter;
    gpointer instance = NULL;
    gpointer value = NULL;
    gpointer oldest_instance = NULL;
    const instance_note *oldest = NULL;
    g_hash_table_iter_init(&iter, notes->by_instance);
    while (g_hash_table_iter_next(&iter, &instance, &value)) {
        const instance_note *note = value;
        if (oldest == NULL || note->noted_us < oldest->noted_us) {
            oldest = note;
            oldest_instance = instance;
        }
    }
    if (oldest_instance != NULL) {
        g_hash_table_remove(notes->by_instance, oldest_instance);
    }
}

/* Returns the note of a start of an instance, a new one if needed; NULL if a
 * later start has one. */
static instance_note *
instance_notes_get_new(instance_notes *notes, const char *instance,
                       int64_t born_ms, int64_t now_us)
{
    instance_note *note = g_hash_table_lookup(notes->by_instance, instance);
    if (note == NULL) {
        if (g_hash_table_size(notes->by_instance) >= INSTANCE_NOTES_MAX) {
            instance_notes_forget_oldest(notes);
        }
        note = g_new0(instance_note, 1);
        note->born_ms = born_ms;
        g_hash_table_insert(notes->by_instance, g_strdup(instance), note);
    }
    if (born_ms < note->born_ms) {
        return NULL;
    }
    if (born_ms > note->born_ms) {
        *note = (instance_note){.born_ms = born_ms};
    }
    note->noted_us = now_us;
    return note;
}

/* Notes the limit that an instance has named, or that it has named none.  Only
 * an instance that has named one before needs a note for the latter. */
void
instance_notes_set_rate(instance_notes *notes, const char *instance,
                        int64_t born_ms, const instance_rate *rate,
                        int64_t now_us)
{
    if (!rate->limited &&
        instance_notes_get(notes, instance, born_ms) == NULL) {
        return;
    }
    instance_note *note =
        instance_notes_get_new(notes, instance, born_ms, now_us);
    if (note != NULL) {
        note->rate = *rate;
    }
}

/* Notes that an instance leaves, and the time from which on it gets no new
 * requests; one that was noted before stays. */
void
instance_notes_set_leaving(instance_notes *notes, const char *instance,
                           int64_t born_ms, int64_t cutoff_us, int64_t now_us)
{
    instance_note *note =
        instance_notes_get_new(notes, instance, born_ms, now_us);
    if (note != NULL && !note->leaving) {
        note->leaving = true;
        note->leaving_cutoff_us = cutoff_us;
    }
}

/* Returns the note of a start of an instance; NULL if there is none. */
const instance_note *
instance_notes_get(const instance_notes *notes, const char *instance,
                   int64_t born_ms)
{
    const instance_note *note =
        g_hash_table_lookup(notes->by_instance, instance);
    return note != NULL && note->born_ms == born_ms ? note : NULL;
}
