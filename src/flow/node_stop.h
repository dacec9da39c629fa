/*
 * node_stop: a planned stop of the node, bounded by the grace time after which
 * the platform kills the process.
 *
 * The node serves on while callers and peers learn that it is no longer ready,
 * then refuses new requests, and ends once nothing is under way.  Requests that
 * are still without a response shortly before the end of the grace time get an
 * error response that states whether they may have run.
 */
#ifndef LAV_NODE_STOP_H
#define LAV_NODE_STOP_H

#include "runtime.h"

void node_stop_begin(runtime *n);
bool node_stop_advance(runtime *n);

#endif
