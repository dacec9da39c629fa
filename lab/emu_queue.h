/*
 * emu_queue: event queue of the simulation.  Events are ordered by time; those
 * at the same time are handled in the order in which they were pushed.
 */
#ifndef LAB_EMU_QUEUE_H
#define LAB_EMU_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

typedef struct emu_queue_event {
    int64_t at_us;
    uint64_t order; /* set by emu_queue_push() */
    int kind;       /* defined by the user of the queue */
    int node;
    void *job;
} emu_queue_event;

typedef struct emu_queue emu_queue;

int emu_queue_new(emu_queue **out);
void emu_queue_free(emu_queue *q);
void emu_queue_push(emu_queue *q, const emu_queue_event *event);
bool emu_queue_pop(emu_queue_event *out, emu_queue *q);

#endif
