/* Faults, in series and overlapping, drawn by the seed. */
#include <signal.h>
#include <stdio.h>

#include "lav/clock.h"
#include "mesh.h"
#include "soak.h"

#define SOAK_STEP_MS 20          /* how exactly faults begin and end */
#define SOAK_ACTIVE_MAX 6        /* faults at a time */
#define SOAK_GAP_MS 250          /* between two beginnings, on average */
#define SOAK_JUMPS_OF 3          /* one fault of so many is a jump */
#define SOAK_RESTORES_OF 4       /* one fault of so many is a restore */
#define SOAK_AWAY_MS 300         /* of the store before it is restored */
#define SOAK_OTHER_WRITES 20     /* of other kinds after a restore */
#define SOAK_READ_MS 500         /* until all nodes have read a change */
#define SOAK_JUMP_MS 3600000     /* 1 h, either way, of the time of day */
#define SOAK_FAULTY_PERMILLE 300 /* of the requests, at faulty targets */

typedef struct soak_fault soak_fault;

typedef struct soak_fault_kind {
    const char *name;
    bool planned;
    int least_ms;
    int most_ms;
    void (*start)(soak_run *s, soak_fault *f);
    void (*end)(soak_run *s, soak_fault *f);
    int mode; /* of a proxy or the store */
} soak_fault_kind;

struct soak_fault {
    const soak_fault_kind *kind;
    int node;
    int jump_ms; /* of the time of day */
    int64_t end_us;
};

static void
soak_hold(soak_run *s, const soak_fault *f)
{
    atomic_store(&s->nodes[f->node].disrupted_us, clock_now_us());
}

static void
soak_down(soak_run *s, const soak_fault *f)
{
    atomic_store(&s->nodes[f->node].up, false);
    soak_hold(s, f);
}

static void
soak_start_again(soak_run *s, soak_fault *f)
{
    harness_start_node(f->node);
    soak_hold(s, f);
    atomic_store(&s->nodes[f->node].up, true);
}

static void
soak_kill(soak_run *s, soak_fault *f)
{
    soak_down(s, f);
    harness_signal_node(f->node, SIGKILL);
    harness_wait_node_exit(f->node);
}

static void
soak_stop(soak_run *s, soak_fault *f)
{
    soak_down(s, f);
    harness_signal_node(f->node, SIGTERM);
}

/* A planned stop ends by itself, in order. */
static void
soak_stopped(soak_run *s, soak_fault *f)
{
    int status = harness_wait_node_exit(f->node);
    if (status != 0) {
        soak_report_violation(
            s, "node %d: status %d at the end of a planned stop", f->node,
            status);
    }
    soak_start_again(s, f);
}

static void
soak_pause(soak_run *s, soak_fault *f)
{
    soak_hold(s, f);
    harness_signal_node(f->node, SIGSTOP);
}

static void
soak_resume(soak_run *s, soak_fault *f)
{
    harness_signal_node(f->node, SIGCONT);
    soak_hold(s, f);
}

static void
soak_hup(soak_run *s, soak_fault *f)
{
    (void)s;
    harness_rewrite_settings(f->node);
    harness_signal_node(f->node, SIGHUP);
}

static void
soak_nothing(soak_run *s, soak_fault *f)
{
    (void)s;
    (void)f;
}

static void
soak_peers(soak_run *s, soak_fault *f)
{
    (void)s;
    fault_proxy_set_mode(harness_get_peers_proxy(f->node),
                         (enum fault_proxy_mode)f->kind->mode);
}

static void
soak_peers_end(soak_run *s, soak_fault *f)
{
    (void)s;
    fault_proxy_set_mode(harness_get_peers_proxy(f->node), FAULT_PROXY_PASS);
}

static void
soak_reset(soak_run *s, soak_fault *f)
{
    (void)s;
    fault_proxy_reset_connections(harness_get_peers_proxy(f->node));
}

static void
soak_cut_store(soak_run *s, soak_fault *f)
{
    (void)s;
    fault_proxy_set_mode(harness_get_store_proxy(f->node),
                         (enum fault_proxy_mode)f->kind->mode);
}

static void
soak_cut_store_end(soak_run *s, soak_fault *f)
{
    (void)s;
    fault_proxy_set_mode(harness_get_store_proxy(f->node), FAULT_PROXY_PASS);
}

static void
soak_store(soak_run *s, soak_fault *f)
{
    (void)s;
    harness_set_store_mode((enum harness_store_mode)f->kind->mode);
}

static void
soak_store_end(soak_run *s, soak_fault *f)
{
    (void)s;
    (void)f;
    harness_set_store_mode(HARNESS_STORE_UP);
}

static void
soak_targets(soak_run *s, soak_fault *f)
{
    (void)s;
    (void)f;
    harness_set_fault_permille(SOAK_FAULTY_PERMILLE);
}

static void
soak_targets_end(soak_run *s, soak_fault *f)
{
    (void)s;
    (void)f;
    harness_set_fault_permille(0);
}

static void
soak_target_state(soak_run *s, soak_fault *f)
{
    atomic_store(&s->nodes[f->node].target, f->kind->mode);
}

static void
soak_target_new(soak_run *s, soak_fault *f)
{
    atomic_store(&s->nodes[f->node].target, SOAK_TARGET_REPLACED);
}

static void
soak_crash(soak_run *s, soak_fault *f)
{
    (void)s;
    harness_set_target_refusing(f->node, true);
}

static void
soak_crash_end(soak_run *s, soak_fault *f)
{
    harness_set_target_refusing(f->node, false);
    soak_target_new(s, f);
}

static void
soak_change(soak_run *s, soak_fault *f)
{
    (void)f;
    soak_publish_desired(s);
}

/* By up to an hour, either way; it stays so until the next jump, so that a
 * start may come before, during or after it. */
static void
soak_clock(soak_run *s, soak_fault *f)
{
    (void)s;
    harness_set_clock_offset(f->node, f->jump_ms);
}

/* Takes the copy that the store goes back to at the end. */
static void
soak_restore(soak_run *s, soak_fault *f)
{
    (void)s;
    (void)f;
    harness_store_copy();
}

/* The store is away for a moment and comes back from its copy.  The operator
 * writes the desired state again, and the next one; others write theirs, so
 * that the revisions that were lost exist again. */
static void
soak_restore_end(soak_run *s, soak_fault *f)
{
    (void)f;
    harness_set_store_mode(HARNESS_STORE_UNAVAILABLE);
    harness_sleep_ms(SOAK_AWAY_MS);
    harness_store_restore();
    soak_write_desired(s);
    soak_publish_desired(s);
    for (int i = 0; i < SOAK_OTHER_WRITES; i++) {
        harness_store_put("others", "one", "{}");
    }
    harness_set_store_mode(HARNESS_STORE_UP);
}

static const soak_fault_kind soak_fault_kinds[] = {
    {"stop", true, 5000, 6000, soak_stop, soak_stopped, 0},
    {"settings", true, 50, 100, soak_hup, soak_nothing, 0},
    {"desired state", true, 50, 100, soak_change, soak_nothing, 0},
    {"target drains", true, 2500, 3500, soak_target_state, soak_target_new,
     SOAK_TARGET_DRAINING},
    {"target leaves", true, 2500, 3500, soak_target_state, soak_target_new,
     SOAK_TARGET_DEREGISTERED},
    {"kill", false, 50, 1500, soak_kill, soak_start_again, 0},
    {"pause", false, 100, 3000, soak_pause, soak_resume, 0},
    {"target crashes", false, 200, 1500, soak_crash, soak_crash_end, 0},
    {"faulty targets", false, 500, 2000, soak_targets, soak_targets_end, 0},
    {"connections reset", false, 50, 100, soak_reset, soak_nothing, 0},
    {"peers cut", false, 100, 2000, soak_peers, soak_peers_end,
     FAULT_PROXY_CLOSE},
    {"peers silent", false, 100, 3000, soak_peers, soak_peers_end,
     FAULT_PROXY_BLACKHOLE},
    {"peers cut one way", false, 100, 3000, soak_peers, soak_peers_end,
     FAULT_PROXY_BLACKHOLE_REPLY},
    {"answers of peers cut", false, 100, 1000, soak_peers, soak_peers_end,
     FAULT_PROXY_CLOSE_ON_REPLY},
    {"answers of peers late", false, 500, 2000, soak_peers, soak_peers_end,
     FAULT_PROXY_DELAY_REPLY},
    {"store cut", false, 500, 4000, soak_cut_store, soak_cut_store_end,
     FAULT_PROXY_CLOSE},
    {"store silent", false, 500, 4000, soak_cut_store, soak_cut_store_end,
     FAULT_PROXY_BLACKHOLE},
    {"store busy", false, 500, 4000, soak_store, soak_store_end,
     HARNESS_STORE_UNAVAILABLE},
    {"store hangs", false, 500, 4000, soak_store, soak_store_end,
     HARNESS_STORE_HANGS},
    {"store's answers lost", false, 500, 4000, soak_store, soak_store_end,
     HARNESS_STORE_LOSES_REPLY},
    /* Last, as seeds played without them keep their faults. */
    {"store restored", false, 500, 2500, soak_restore, soak_restore_end, 0},
    {"clock jumps", true, 50, 100, soak_clock, soak_nothing, 0},
};

/* Whether a fault acts on the store itself. */
static bool
soak_is_store_fault(const soak_fault_kind *kind)
{
    return kind->start == soak_store || kind->start == soak_restore;
}

/* Whether two faults would undo each other: the same thing, or one that ends
 * a process while another one acts on it. */
static bool
soak_collide(const soak_fault *a, const soak_fault *b)
{
    bool same_node = a->node == b->node;
    bool both_store =
        soak_is_store_fault(a->kind) && soak_is_store_fault(b->kind);
    bool both_targets =
        a->kind->start == soak_targets && b->kind->start == soak_targets;
    return same_node || both_store || both_targets;
}

static void
soak_count(soak_run *s, const char *name)
{
    int times = GPOINTER_TO_INT(g_hash_table_lookup(s->kinds, name));
    g_hash_table_insert(s->kinds, (gpointer)name, GINT_TO_POINTER(times + 1));
    atomic_fetch_add(&s->faults, 1);
}

static void
soak_begin(soak_run *s, soak_fault *active, int *count, GRand *random)
{
    soak_fault f = {0};
    /* The last two kinds, restores and clocks, only where they are asked for,
     * and then often: they matter together with others. */
    int others = G_N_ELEMENTS(soak_fault_kinds) - 2;
    do {
        bool jump =
            s->opts.clocks && g_rand_int_range(random, 0, SOAK_JUMPS_OF) == 0;
        bool restore = s->opts.restores && !jump &&
                       g_rand_int_range(random, 0, SOAK_RESTORES_OF) == 0;
        int kind = jump      ? others + 1
                   : restore ? others
                             : g_rand_int_range(random, 0, others);
        f.kind = &soak_fault_kinds[kind];
    } while (s->opts.planned && !f.kind->planned);
    bool proxied =
        f.kind->end == soak_peers_end || f.kind->start == soak_reset;
    f.node = g_rand_int_range(
        random, 0, proxied ? harness_proxied_node_count() : s->opts.nodes);
    if (f.kind->start == soak_clock) {
        f.jump_ms = g_rand_int_range(random, -SOAK_JUMP_MS, SOAK_JUMP_MS);
    }
    int for_ms = g_rand_int_range(random, f.kind->least_ms, f.kind->most_ms);
    f.end_us = clock_now_us() + (int64_t)for_ms * CLOCK_US_PER_MS;
    for (int i = 0; i < *count; i++) {
        if (soak_collide(&f, &active[i])) {
            return;
        }
    }
    soak_count(s, f.kind->name);
    f.kind->start(s, &f);
    active[(*count)++] = f;
}

static void
soak_end_due(soak_run *s, soak_fault *active, int *count, int64_t now_us)
{
    for (int i = *count - 1; i >= 0; i--) {
        if (now_us >= active[i].end_us) {
            soak_fault f = active[i];
            active[i] = active[--*count];
            f.kind->end(s, &f);
        }
    }
}

/* A process that ends without having been told to. */
static void
soak_watch_processes(soak_run *s)
{
    for (int i = 0; i < s->opts.nodes; i++) {
        if (atomic_load(&s->nodes[i].up) && !harness_node_is_running(i)) {
            soak_report_violation(s, "node %d ended by itself", i);
            harness_start_node(i);
        }
    }
}

/* The last changes get revisions that were given out before the restore. */
static void
soak_end_with_restore(soak_run *s)
{
    soak_fault f = {0};
    soak_restore(s, &f);
    soak_publish_desired(s);
    soak_publish_desired(s);
    harness_sleep_ms(SOAK_READ_MS);
    soak_restore_end(s, &f);
    soak_count(s, "store restored");
}

/* Inject faults for as long as the options say; all are over at the end. */
void
soak_inject_faults(soak_run *s)
{
    soak_fault active[SOAK_ACTIVE_MAX];
    int count = 0;
    GRand *random = g_rand_new_with_seed((guint32)s->opts.seed);
    int64_t end_us =
        clock_now_us() + (int64_t)s->opts.seconds * CLOCK_US_PER_S;
    int64_t next_us = 0;
    while (clock_now_us() < end_us) {
        int64_t now_us = clock_now_us();
        soak_end_due(s, active, &count, now_us);
        soak_watch_processes(s);
        if (now_us >= next_us && count < SOAK_ACTIVE_MAX) {
            soak_begin(s, active, &count, random);
            next_us = now_us + g_rand_int_range(random, 0, 2 * SOAK_GAP_MS) *
                                   CLOCK_US_PER_MS;
        }
        harness_sleep_ms(SOAK_STEP_MS);
    }
    soak_end_due(s, active, &count, INT64_MAX);
    if (s->opts.restores) {
        soak_end_with_restore(s);
    }
    g_rand_free(random);
}
