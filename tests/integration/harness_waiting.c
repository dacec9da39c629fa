/* The watches at the store that wait for a change. */
#include <stdio.h>
#include <string.h>

#include "harness_private.h"

#define HARNESS_WAITING_MAX 64

/* Kinds of the watches that wait; empty: none. */
static char harness_waiting_kinds[HARNESS_WAITING_MAX][32];

/* Watches of a kind that wait for a change. */
int
harness_store_waiting_count(const char *kind)
{
    int count = 0;
    pthread_mutex_lock(&harness_lock);
    for (int i = 0; i < HARNESS_WAITING_MAX; i++) {
        count += strcmp(harness_waiting_kinds[i], kind) == 0;
    }
    pthread_mutex_unlock(&harness_lock);
    return count;
}

/* Note a watch that begins to wait; returns its place, or -1 if there is none
 * left. */
int
harness_add_waiting(const char *kind)
{
    int place = -1;
    pthread_mutex_lock(&harness_lock);
    for (int i = 0; i < HARNESS_WAITING_MAX && place < 0; i++) {
        if (harness_waiting_kinds[i][0] == '\0') {
            snprintf(harness_waiting_kinds[i],
                     sizeof(harness_waiting_kinds[i]), "%s", kind);
            place = i;
        }
    }
    pthread_mutex_unlock(&harness_lock);
    return place;
}

/* Remove the note of a watch; takes -1. */
void
harness_remove_waiting(int place)
{
    if (place >= 0) {
        pthread_mutex_lock(&harness_lock);
        harness_waiting_kinds[place][0] = '\0';
        pthread_mutex_unlock(&harness_lock);
    }
}
