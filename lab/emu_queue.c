#include "emu_queue.h"

#include <glib.h>

struct emu_queue {
    GSequence *events;
    uint64_t order;
};

/* Compares events by time, then by the order of insertion. */
static gint
emu_queue_compare(gconstpointer a, gconstpointer b, gpointer payload)
{
    (void)payload;
    const emu_queue_event *x = a;
    const emu_queue_event *y = b;
    if (x->at_us != y->at_us) {
        return x->at_us < y->at_us ? -1 : 1;
    }
    return x->order < y->order ? -1 : 1;
}

/* Creates an empty queue.  Returns 0. */
int
emu_queue_new(emu_queue **out)
{
    emu_queue *q = g_new0(emu_queue, 1);
    q->events = g_sequence_new(g_free);
    *out = q;
    return 0;
}

/* Frees a queue and its events; NULL is ignored. */
void
emu_queue_free(emu_queue *q)
{
    if (q != NULL) {
        g_sequence_free(q->events);
        g_free(q);
    }
}

/* Adds a copy of an event. */
void
emu_queue_push(emu_queue *q, const emu_queue_event *event)
{
    emu_queue_event *copy = g_memdup2(event, sizeof(*event));
    copy->order = q->order++;
    g_sequence_insert_sorted(q->events, copy, emu_queue_compare, NULL);
}

/* Removes the next event; returns false if the queue is empty. */
bool
emu_queue_pop(emu_queue_event *out, emu_queue *q)
{
    GSequenceIter *first = g_sequence_get_begin_iter(q->events);
    if (g_sequence_iter_is_end(first)) {
        return false;
    }
    *out = *(const emu_queue_event *)g_sequence_get(first);
    g_sequence_remove(first);
    return true;
}
