/*
 * emu_private: state of a simulation run, shared by the event handlers
 * (emu.c) and the setup and main loop (emu_run.c).
 */
#ifndef LAB_EMU_PRIVATE_H
#define LAB_EMU_PRIVATE_H

#include <glib.h>

#include "emu_queue.h"
#include "emu.h"
#include "lav/chain_level.h"
#include "lav/downstream.h"
#include "lav/target_queue.h"
#include "lav/instance.h"
#include "lav/instance_capacity.h"
#include "lav/shedder.h"
#include "lav/overload.h"
#include "lav/retry_budget.h"

#define EMU_RUNS_MAX 4096 /* calls queued or running at one target */
#define EMU_HOP_US 500    /* one-way latency between nodes */

typedef enum emu_event_kind {
    EMU_ARRIVE,        /* an external request is sent */
    EMU_CALL_RECEIVED, /* a call reaches the node of its target */
    EMU_WORK_DONE,     /* an execution has done its own work */
    EMU_REPLY,         /* a reply reaches the calling node */
    EMU_DEADLINE,      /* the deadline of a call passes */
    EMU_CALLER_RETRY,  /* a caller sends a refused request again */
    EMU_EXPIRE_QUEUED  /* a node removes expired calls from its queue */
} emu_event_kind;

/* A request or a call; calls are linked to the request that makes them. */
typedef struct emu_job {
    int kind;
    int from; /* calling node */
    int at;   /* node of the target, or EMU_NONE */
    struct emu_job *parent;
    int handle; /* in the admission queue of `at`, or EMU_NONE */
    int64_t sent_us;
    int64_t deadline_us;
    int64_t retry_after_us; /* Retry-After of a refusal; 0: none */
    int caller_retries;     /* times that its caller has sent it again */
    int64_t run_start_us;   /* start of its execution; 0: not running */
    int reroutes;
    int resends;   /* after refusals by targets */
    bool executed; /* a target has run a part of it */
    bool finished; /* replied to, or timed out */
    bool ok;       /* success, in the reply that is under way */
    enum reason refusal;
    int beside;       /* calls that ran as its execution began, with itself */
    int host_percent; /* the figure of its host then */
    int calls_made;
    int runs; /* executions for it and for the calls below it */
    instance_query query;
    double weight; /* the demand that it stands for */
} emu_job;

/* A node and its target. */
typedef struct emu_node {
    int service;
    double speed; /* of the target; work time is divided by it */
    int index;    /* among the instances of its service */
    char zone[8];
    instance_table *instances;
    downstream_table *downstream;
    shedder_state *shedder;
    target_queue *queue;
    instance_capacity capacity;
    int slots;
    overload_meter overload;
    chain_level_meter chains;
    retry_budget_window budgets[EMU_SERVICES_MAX]; /* by service called */
    double mean_call_us; /* moving average of execution times */
    service_level_table levels;
    emu_job *jobs[EMU_RUNS_MAX];
    bool mixed;    /* long requests run here beside urgent ones */
    bool expiring; /* EMU_EXPIRE_QUEUED is scheduled */
} emu_node;

typedef struct emu {
    const emu_options *opts;
    emu_result *result;
    emu_queue *queue;
    GPtrArray *jobs; /* every job of the run, freed at its end */
    int64_t now_us;
    GRand *random;
    emu_node *nodes;
    int node_count;
} emu;

uint32_t emu_hash(int value);
void emu_pass_levels(const emu *m, emu_node *to, const emu_node *from,
                     uint32_t except);
void emu_record_load_report(emu *m, const emu_job *job);
void emu_handle_event(emu *m, const emu_queue_event *event);
void emu_schedule(emu *m, int64_t after_us, emu_event_kind kind, emu_job *job,
                  int node);

#endif
