#include "lav/rbw.h"

/* Begin with an empty window. */
void
rbw_init(rbw *b, const rbw_options *options)
{
    *b = (rbw){.options = *options};
}

/* The number of nodes that share the slack has changed. */
void
rbw_set_nodes(rbw *b, int nodes)
{
    b->options.nodes = nodes > 0 ? nodes : 1;
}

/* Empty the slices that have left the window. */
static void
rbw_roll(rbw *b, int64_t now_us)
{
    int64_t slice = now_us / (b->options.window_us / RBW_SLICES);
    int64_t steps = slice - b->slice;
    if (steps > RBW_SLICES + 1) {
        steps = RBW_SLICES + 1;
    }
    for (int64_t i = 0; i < steps; i++) {
        int64_t index = (slice - i) % (RBW_SLICES + 1);
        b->requests[index] = 0;
        b->repeats[index] = 0;
    }
    if (steps > 0) {
        b->slice = slice;
    }
}

/* A request for the service came to this node; it is a repeat itself with the
 * probability `repeat`. */
void
rbw_request(rbw *b, double repeat, int64_t now_us)
{
    rbw_roll(b, now_us);
    b->requests[b->slice % (RBW_SLICES + 1)]++;
    b->repeats[b->slice % (RBW_SLICES + 1)] += repeat;
}

/* Whether one more repeat may be sent; it is counted if so. */
bool
rbw_take(rbw *b, int64_t now_us)
{
    rbw_roll(b, now_us);
    double requests = 0;
    double repeats = 0;
    for (int i = 0; i <= RBW_SLICES; i++) {
        requests += b->requests[i];
        repeats += b->repeats[i];
    }
    double allowed = requests * b->options.ratio * RBW_SAFETY +
                     b->options.slack * RBW_SAFETY / b->options.nodes;
    if (repeats + 1 > allowed) {
        return false;
    }
    b->repeats[b->slice % (RBW_SLICES + 1)]++;
    return true;
}
