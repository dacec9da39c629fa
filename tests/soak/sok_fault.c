/* Faults, in series and overlapping, drawn by the seed. */
#include <signal.h>
#include <stdio.h>

#include "lav/clock.h"
#include "mesh.h"
#include "sok.h"

#define SOK_STEP_MS 20           /* how exactly faults begin and end */
#define SOK_ACTIVE_MAX 6         /* faults at a time */
#define SOK_GAP_MS 250           /* between two beginnings, on average */
#define SOK_JUMPS_OF 3           /* one fault of so many is a jump */
#define SOK_JUMP_MS 3600000      /* 1 h, either way, of the time of day */
#define SOK_TROUBLE_PERMILLE 300 /* of the requests, at targets in trouble */

typedef struct sok_fault sok_fault;

typedef struct sok_fault_kind {
    const char *name;
    bool planned;
    int least_ms;
    int most_ms;
    void (*start)(sok *s, sok_fault *f);
    void (*end)(sok *s, sok_fault *f);
    int mode; /* of a proxy or the store */
} sok_fault_kind;

struct sok_fault {
    const sok_fault_kind *kind;
    int node;
    int jump_ms; /* of the time of day */
    int64_t end_us;
};

static void
sok_hold(sok *s, const sok_fault *f)
{
    atomic_store(&s->nodes[f->node].held_us, clock_now_us());
}

static void
sok_down(sok *s, const sok_fault *f)
{
    atomic_store(&s->nodes[f->node].up, false);
    sok_hold(s, f);
}

static void
sok_start_again(sok *s, sok_fault *f)
{
    pfr_start_node(f->node);
    sok_hold(s, f);
    atomic_store(&s->nodes[f->node].up, true);
}

static void
sok_kill(sok *s, sok_fault *f)
{
    sok_down(s, f);
    pfr_signal_node(f->node, SIGKILL);
    pfr_await_node_end(f->node);
}

static void
sok_stop(sok *s, sok_fault *f)
{
    sok_down(s, f);
    pfr_signal_node(f->node, SIGTERM);
}

/* A planned stop ends by itself, in order. */
static void
sok_stopped(sok *s, sok_fault *f)
{
    int status = pfr_await_node_end(f->node);
    if (status != 0) {
        sok_find(s, "node %d: status %d at the end of a planned stop", f->node,
                 status);
    }
    sok_start_again(s, f);
}

static void
sok_pause(sok *s, sok_fault *f)
{
    sok_hold(s, f);
    pfr_signal_node(f->node, SIGSTOP);
}

static void
sok_resume(sok *s, sok_fault *f)
{
    pfr_signal_node(f->node, SIGCONT);
    sok_hold(s, f);
}

static void
sok_hup(sok *s, sok_fault *f)
{
    (void)s;
    pfr_touch_settings(f->node);
    pfr_signal_node(f->node, SIGHUP);
}

static void
sok_nothing(sok *s, sok_fault *f)
{
    (void)s;
    (void)f;
}

static void
sok_peers(sok *s, sok_fault *f)
{
    (void)s;
    prx_set(pfr_peers_proxy(f->node), (enum prx_mode)f->kind->mode);
}

static void
sok_peers_end(sok *s, sok_fault *f)
{
    (void)s;
    prx_set(pfr_peers_proxy(f->node), PRX_PASS);
}

static void
sok_reset(sok *s, sok_fault *f)
{
    (void)s;
    prx_reset(pfr_peers_proxy(f->node));
}

static void
sok_cut_store(sok *s, sok_fault *f)
{
    (void)s;
    prx_set(pfr_store_proxy(f->node), (enum prx_mode)f->kind->mode);
}

static void
sok_cut_store_end(sok *s, sok_fault *f)
{
    (void)s;
    prx_set(pfr_store_proxy(f->node), PRX_PASS);
}

static void
sok_store(sok *s, sok_fault *f)
{
    (void)s;
    pfr_store_mode((enum pfr_store_mode)f->kind->mode);
}

static void
sok_store_end(sok *s, sok_fault *f)
{
    (void)s;
    (void)f;
    pfr_store_mode(PFR_STORE_UP);
}

static void
sok_targets(sok *s, sok_fault *f)
{
    (void)s;
    (void)f;
    pfr_trouble(SOK_TROUBLE_PERMILLE);
}

static void
sok_targets_end(sok *s, sok_fault *f)
{
    (void)s;
    (void)f;
    pfr_trouble(0);
}

static void
sok_target(sok *s, sok_fault *f)
{
    atomic_store(&s->nodes[f->node].target, f->kind->mode);
}

static void
sok_target_new(sok *s, sok_fault *f)
{
    atomic_store(&s->nodes[f->node].target, SOK_TARGET_NEW);
}

static void
sok_crash(sok *s, sok_fault *f)
{
    (void)s;
    pfr_target_refuse(f->node, true);
}

static void
sok_crash_end(sok *s, sok_fault *f)
{
    pfr_target_refuse(f->node, false);
    sok_target_new(s, f);
}

static void
sok_change(sok *s, sok_fault *f)
{
    (void)f;
    sok_desire(s);
}

/* By up to an hour, either way; it stays so until the next jump, so that a
 * start may come before, during or after it. */
static void
sok_clock(sok *s, sok_fault *f)
{
    (void)s;
    pfr_set_clock(f->node, f->jump_ms);
}

static const sok_fault_kind sok_fault_kinds[] = {
    {"stop", true, 5000, 6000, sok_stop, sok_stopped, 0},
    {"settings", true, 50, 100, sok_hup, sok_nothing, 0},
    {"desired state", true, 50, 100, sok_change, sok_nothing, 0},
    {"target drains", true, 2500, 3500, sok_target, sok_target_new,
     SOK_TARGET_DRAINS},
    {"target leaves", true, 2500, 3500, sok_target, sok_target_new,
     SOK_TARGET_LEAVES},
    {"kill", false, 50, 1500, sok_kill, sok_start_again, 0},
    {"pause", false, 100, 3000, sok_pause, sok_resume, 0},
    {"target crashes", false, 200, 1500, sok_crash, sok_crash_end, 0},
    {"targets in trouble", false, 500, 2000, sok_targets, sok_targets_end, 0},
    {"connections reset", false, 50, 100, sok_reset, sok_nothing, 0},
    {"peers cut", false, 100, 2000, sok_peers, sok_peers_end, PRX_CUT},
    {"peers silent", false, 100, 3000, sok_peers, sok_peers_end, PRX_HOLD},
    {"peers cut one way", false, 100, 3000, sok_peers, sok_peers_end,
     PRX_HOLD_REPLY},
    {"answers of peers cut", false, 100, 1000, sok_peers, sok_peers_end,
     PRX_CUT_REPLY},
    {"answers of peers late", false, 500, 2000, sok_peers, sok_peers_end,
     PRX_SLOW},
    {"store cut", false, 500, 4000, sok_cut_store, sok_cut_store_end, PRX_CUT},
    {"store silent", false, 500, 4000, sok_cut_store, sok_cut_store_end,
     PRX_HOLD},
    {"store busy", false, 500, 4000, sok_store, sok_store_end, PFR_STORE_BUSY},
    {"store hangs", false, 500, 4000, sok_store, sok_store_end,
     PFR_STORE_SILENT},
    {"store's answers lost", false, 500, 4000, sok_store, sok_store_end,
     PFR_STORE_LOST},
    /* Last, as seeds played without it keep their faults. */
    {"clock jumps", true, 50, 100, sok_clock, sok_nothing, 0},
};

/* Whether two faults would undo each other: the same thing, or one that ends
 * a process while another one acts on it. */
static bool
sok_collide(const sok_fault *a, const sok_fault *b)
{
    bool same_node = a->node == b->node;
    bool both_store =
        a->kind->start == sok_store && b->kind->start == sok_store;
    bool both_trouble =
        a->kind->start == sok_targets && b->kind->start == sok_targets;
    return same_node || both_store || both_trouble;
}

static void
sok_count(sok *s, const char *name)
{
    int times = GPOINTER_TO_INT(g_hash_table_lookup(s->kinds, name));
    g_hash_table_insert(s->kinds, (gpointer)name, GINT_TO_POINTER(times + 1));
    atomic_fetch_add(&s->faults, 1);
}

static void
sok_begin(sok *s, sok_fault *active, int *count, GRand *random)
{
    sok_fault f = {0};
    /* The last kind, the clocks, only where they are to jump, and then often:
     * it matters together with others. */
    int others = G_N_ELEMENTS(sok_fault_kinds) - 1;
    do {
        bool jump =
            s->opts.clocks && g_rand_int_range(random, 0, SOK_JUMPS_OF) == 0;
        int kind = jump ? others : g_rand_int_range(random, 0, others);
        f.kind = &sok_fault_kinds[kind];
    } while (s->opts.planned && !f.kind->planned);
    bool proxied = f.kind->end == sok_peers_end || f.kind->start == sok_reset;
    f.node = g_rand_int_range(random, 0,
                              proxied ? pfr_proxied_nodes() : s->opts.nodes);
    if (f.kind->start == sok_clock) {
        f.jump_ms = g_rand_int_range(random, -SOK_JUMP_MS, SOK_JUMP_MS);
    }
    int for_ms = g_rand_int_range(random, f.kind->least_ms, f.kind->most_ms);
    f.end_us = clock_now_us() + (int64_t)for_ms * CLOCK_US_PER_MS;
    for (int i = 0; i < *count; i++) {
        if (sok_collide(&f, &active[i])) {
            return;
        }
    }
    sok_count(s, f.kind->name);
    f.kind->start(s, &f);
    active[(*count)++] = f;
}

static void
sok_end_due(sok *s, sok_fault *active, int *count, int64_t now_us)
{
    for (int i = *count - 1; i >= 0; i--) {
        if (now_us >= active[i].end_us) {
            sok_fault f = active[i];
            active[i] = active[--*count];
            f.kind->end(s, &f);
        }
    }
}

/* A process that ends without having been told to. */
static void
sok_watch_processes(sok *s)
{
    for (int i = 0; i < s->opts.nodes; i++) {
        if (atomic_load(&s->nodes[i].up) && !pfr_node_lives(i)) {
            sok_find(s, "node %d ended by itself", i);
            pfr_start_node(i);
        }
    }
}

/* Inject faults for as long as the options say; all are over at the end. */
void
sok_inject(sok *s)
{
    sok_fault active[SOK_ACTIVE_MAX];
    int count = 0;
    GRand *random = g_rand_new_with_seed((guint32)s->opts.seed);
    int64_t end_us =
        clock_now_us() + (int64_t)s->opts.seconds * CLOCK_US_PER_S;
    int64_t next_us = 0;
    while (clock_now_us() < end_us) {
        int64_t now_us = clock_now_us();
        sok_end_due(s, active, &count, now_us);
        sok_watch_processes(s);
        if (now_us >= next_us && count < SOK_ACTIVE_MAX) {
            sok_begin(s, active, &count, random);
            next_us = now_us + g_rand_int_range(random, 0, 2 * SOK_GAP_MS) *
                                   CLOCK_US_PER_MS;
        }
        pfr_sleep_ms(SOK_STEP_MS);
    }
    sok_end_due(s, active, &count, INT64_MAX);
    g_rand_free(random);
}
