/*
 * Types of an emulated day, shared by its course (emu.c) and its set-up
 * (emu_run.c).
 */
#ifndef LAB_EMU_PRIVATE_H
#define LAB_EMU_PRIVATE_H

#include <glib.h>

#include "emu_queue.h"
#include "emu.h"
#include "lav/admission.h"
#include "lav/downstream.h"
#include "lav/target_queue.h"
#include "lav/instance.h"
#include "lav/shedder.h"
#include "lav/overload.h"

#define EMU_RUNS_MAX 4096 /* at one target */

typedef enum emu_event_kind {
    EMU_ARRIVE,        /* an outside caller's request */
    EMU_CALL_RECEIVED, /* a call reaches the node beside its target */
    EMU_WORK_DONE,     /* a run has done its own work */
    EMU_REPLY,         /* an answer reaches the node that asked */
    EMU_DEADLINE,      /* a call's time is over */
    EMU_CALLER_RETRY,  /* a caller that was refused comes back */
    EMU_EXPIRE_QUEUED  /* waits at a door are looked at */
} emu_event_kind;

typedef struct emu_job {
    int kind;
    int from; /* node that asks */
    int at;   /* node beside the target, or EMU_NONE */
    struct emu_job *parent;
    int handle; /* at the door */
    int64_t sent_us;
    int64_t deadline_us;
    int64_t after_us; /* refused: it may come back then; 0: it isn't */
    int returned;     /* times that its caller has come back */
    int64_t run_us;   /* since when it runs; 0: it doesn't */
    int moves;
    bool begun; /* a target has run a part of it */
    bool over;  /* answered or given up */
    bool ok;    /* the answer on its way */
    enum reason refusal;
    int step; /* calls made so far */
    int runs; /* for it and below it */
    instance_query choice;
} emu_job;

typedef struct emu_node {
    int service;
    double speed;
    int index; /* among the instances of its service */
    char zone[8];
    instance_table *fleet;
    downstream_table *chains;
    shedder_state *gate;
    admission_queue *door;
    overload_meter overload;
    double call_us;
    emu_job *jobs[EMU_RUNS_MAX];
    bool expiring;
} emu_node;

typedef struct emu {
    const emu_options *opts;
    emu_result *result;
    emu_queue *queue;
    GPtrArray *jobs; /* all of the day's */
    int64_t now_us;
    GRand *random;
    emu_node *nodes;
    int node_count;
} emu;

void emu_handle_event(emu *m, const emu_queue_event *event);
void emu_schedule(emu *m, int64_t after_us, emu_event_kind kind, emu_job *job,
                  int node);

#endif
