/* Retries along a chain of services that shed requests: in each window, the
 * arrivals at a service beyond the first of their request must stay within its
 * retry budget.  Calls made by a run that was itself a retry count as such. */
#include <criterion/criterion.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "lav/retry_budget.h"
#include "lav/retry_share.h"

#define COUNT(list) (sizeof(list) / sizeof((list)[0]))

#define SERVICES 3
#define NODES_PER_SERVICE 4
#define NODES (SERVICES * NODES_PER_SERVICE)
#define RUN_MS 30          /* of a target's own work, between its calls */
#define HOP_MS 1           /* until a call arrives, and until it is refused */
#define DAY_MS 32000       /* of simulated time */
#define SHED_FROM_MS 12000 /* targets shed requests from then on */
#define SHED_MS 10000      /* for that long */
#define ATTEMPTS_MAX 10    /* of one request */
#define WINDOW_MS 10000    /* of the budget */
#define RATIO 0.2
#define SLACK 48
#define US_PER_MS 1000

/* Calls that a run at each service makes to the next one, one by one. */
static const int calls_per_run[SERVICES] = {1, 4, 0};

typedef struct chain_case {
    const char *name;
    double shed[SERVICES]; /* probability, while targets shed */
    int requests_per_s;    /* of callers, for the first service */
} chain_case;

static const chain_case chain_cases[] = {
    {"the last service sheds", {0, 0, 0.55}, 200},
    {"the middle service sheds", {0, 0.4, 0}, 200},
    {"the first service sheds", {0.4, 0, 0}, 200},
    {"the last two shed", {0, 0.4, 0.55}, 200},
    {"the last two shed half", {0, 0.5, 0.5}, 200},
    {"the middle sheds less than the last", {0, 0.2, 0.4}, 200},
    {"the first and the last shed", {0.4, 0, 0.5}, 200},
    {"all shed", {0.3, 0.3, 0.5}, 200},
    {"all shed a little", {0.12, 0.12, 0.12}, 200},
    {"few requests", {0, 0.4, 0.55}, 8},
};

typedef struct chain_node {
    retry_budget_window budgets[SERVICES]; /* of the calls that enter here */
    retry_share_table *share;
} chain_node;

typedef struct chain_job {
    struct chain_job *parent; /* NULL: a request of a caller */
    int service;
    int entered_at; /* node */
    int runs_at;    /* node */
    int attempts;
    int calls_left; /* of its run */
    double retry_probability;
    double run_probability; /* that its run is a retry, as counted */
    bool came_of_retry;     /* its parent's run was a retry, or came of one */
} chain_job;

typedef struct chain_event {
    void (*handle)(chain_job *job);
    chain_job *job;
} chain_event;

static chain_node nodes[NODES];
static GArray *events[DAY_MS]; /* chain_event */
static GPtrArray *jobs;        /* all of a day */
static GRand *chance;
static int now_ms;
static const chain_case *current;

/* What the targets and the callers saw, in each millisecond. */
static int requests[SERVICES][DAY_MS];
static int retries[SERVICES][DAY_MS];
static int served;

static int64_t
now_us(void)
{
    return (int64_t)now_ms * US_PER_MS;
}

static void
schedule(int delay_ms, void (*handle)(chain_job *job), chain_job *job)
{
    chain_event event = {handle, job};
    int at_ms = now_ms + delay_ms;
    if (at_ms >= DAY_MS) {
        return;
    }
    if (events[at_ms] == NULL) {
        events[at_ms] = g_array_new(FALSE, FALSE, sizeof(chain_event));
    }
    g_array_append_val(events[at_ms], event);
}

static int
random_node(int service)
{
    return service * NODES_PER_SERVICE +
           g_rand_int_range(chance, 0, NODES_PER_SERVICE);
}

static void arrive(chain_job *job);
static bool service_takes_retries(int service);

/* A request enters at a node, as the frontend takes it. */
static void
enter(chain_job *parent, int service, int node)
{
    chain_job *job = g_new0(chain_job, 1);
    g_ptr_array_add(jobs, job);
    job->parent = parent;
    job->service = service;
    job->entered_at = node;
    if (parent != NULL) {
        job->retry_probability = retry_share_get(nodes[node].share, now_us());
        job->came_of_retry = parent->came_of_retry || parent->attempts > 1;
        retry_budget_add_call(&nodes[node].budgets[service],
                              job->retry_probability, now_us());
    }
    else {
        retry_budget_add_request(&nodes[node].budgets[service], 0, now_us());
    }
    requests[service][now_ms]++;
    schedule(HOP_MS, arrive, job);
}

static void run(chain_job *job);

static void
end_run(const chain_job *job)
{
    retry_share_end_run(nodes[job->runs_at].share, (uint32_t)job->service,
                        job->run_probability);
}

/* A request was answered: its parent goes on, or fails. */
static void
end(chain_job *job, bool ok)
{
    if (job->parent == NULL) {
        served += ok;
    }
    else if (ok) {
        schedule(0, run, job->parent);
    }
    else {
        end_run(job->parent);
        end(job->parent, false);
    }
}

/* Whether the services below have room for the calls of a retried run, as
 * runtime_takes_retries() decides. */
static bool
takes_retries(int node)
{
    for (int s = 0; s < SERVICES; s++) {
        retry_budget_window *budget = &nodes[node].budgets[s];
        if (retry_budget_is_called(budget, now_us()) &&
            !(retry_budget_has_room(budget, now_us()) &&
              service_takes_retries(s))) {
            return false;
        }
    }
    return true;
}

static bool
service_takes_retries(int service)
{
    for (int i = 0; i < NODES_PER_SERVICE; i++) {
        if (takes_retries(service * NODES_PER_SERVICE + i)) {
            return true;
        }
    }
    return false;
}

/* Whether a request that was shed is sent again; charged to the budget. */
static bool
may_retry(chain_job *job)
{
    retry_budget_window *budget =
        &nodes[job->entered_at].budgets[job->service];
    return job->attempts < ATTEMPTS_MAX &&
           service_takes_retries(job->service) &&
           retry_budget_take(budget, now_us());
}

/* A target shed the request. */
static void
on_shed(chain_job *job)
{
    end_run(job);
    if (may_retry(job)) {
        job->retry_probability = 1;
        schedule(HOP_MS, arrive, job);
    }
    else {
        end(job, false);
    }
}

/* A target's run makes its next call, or ends. */
static void
run(chain_job *job)
{
    if (job->calls_left == 0) {
        end_run(job);
        end(job, true);
        return;
    }
    job->calls_left--;
    enter(job, job->service + 1, job->runs_at);
}

/* A request arrives at a target, which sheds or runs it. */
static void
arrive(chain_job *job)
{
    bool shedding = now_ms >= SHED_FROM_MS && now_ms < SHED_FROM_MS + SHED_MS;
    job->runs_at = random_node(job->service);
    if (job->retry_probability > RETRY_SHARE_LIKELY &&
        !takes_retries(job->runs_at)) {
        end(job, false);
        return;
    }
    job->attempts++;
    retries[job->service][now_ms] += job->attempts > 1 || job->came_of_retry;
    job->run_probability = job->retry_probability;
    retry_share_begin_run(nodes[job->runs_at].share, (uint32_t)job->service,
                          job->run_probability, now_us());
    if (shedding && g_rand_double(chance) < current->shed[job->service]) {
        schedule(HOP_MS, on_shed, job);
        return;
    }
    job->calls_left = calls_per_run[job->service];
    schedule(RUN_MS, run, job);
}

static int
sum(const int *counts, int from_ms)
{
    int total = 0;
    for (int i = MAX(from_ms, 0); i < MIN(from_ms + WINDOW_MS, DAY_MS); i++) {
        total += counts[i];
    }
    return total;
}

/* Checks the budget of a service in every window.  The requests counted are
 * those of the window, of the one before it or of the one half a window
 * before it, whichever has most. */
static void
check_budget(int service)
{
    for (int from = 0; from + WINDOW_MS <= DAY_MS; from += 50) {
        int asked = MAX(sum(requests[service], from),
                        MAX(sum(requests[service], from - WINDOW_MS / 2),
                            sum(requests[service], from - WINDOW_MS)));
        int sent = sum(retries[service], from);
        cr_assert_leq(sent, RATIO * asked + SLACK,
                      "%s: service %d, window from %d ms: %d retries of %d "
                      "requests",
                      current->name, service, from, sent, asked);
    }
}

static void
play(const chain_case *c, guint32 seed)
{
    retry_budget_options options = {
        RATIO, SLACK, (int64_t)WINDOW_MS * US_PER_MS, NODES, 0, 0};
    current = c;
    chance = g_rand_new_with_seed(seed);
    jobs = g_ptr_array_new_with_free_func(g_free);
    served = 0;
    memset(requests, 0, sizeof(requests));
    memset(retries, 0, sizeof(retries));
    for (int i = 0; i < NODES; i++) {
        cr_assert_eq(retry_share_new(&nodes[i].share), 0);
        for (int s = 0; s < SERVICES; s++) {
            retry_budget_init(&nodes[i].budgets[s], &options);
        }
    }
    for (now_ms = 0; now_ms < DAY_MS; now_ms++) {
        if (g_rand_double(chance) < c->requests_per_s / 1000.0) {
            enter(NULL, 0, g_rand_int_range(chance, 0, NODES));
        }
        for (guint i = 0; events[now_ms] != NULL && i < events[now_ms]->len;
             i++) {
            chain_event event = g_array_index(events[now_ms], chain_event, i);
            event.handle(event.job);
        }
        if (events[now_ms] != NULL) {
            g_array_free(events[now_ms], TRUE);
            events[now_ms] = NULL;
        }
    }
    for (int i = 0; i < NODES; i++) {
        retry_share_free(nodes[i].share);
    }
    g_rand_free(chance);
    g_ptr_array_free(jobs, TRUE);
}

Test(retry_chain, calls_of_retried_runs_exceed_the_budget_below)
{
    for (size_t i = 0; i < COUNT(chain_cases); i++) {
        for (guint32 seed = 1; seed <= 3; seed++) {
            play(&chain_cases[i], seed);
            for (int s = 0; s < SERVICES; s++) {
                check_budget(s);
            }
        }
    }
}
