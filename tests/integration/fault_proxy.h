/*
 * fault_proxy: a TCP proxy on the loopback interface that injects faults into
 * the connections it forwards.  Each proxy runs in a thread of the test's
 * process; its mode can change at any time.
 */
#ifndef LAV_FAULT_PROXY_H
#define LAV_FAULT_PROXY_H

enum fault_proxy_mode {
    FAULT_PROXY_PASS,
    /* Closes open connections, and new ones as soon as they are accepted. */
    FAULT_PROXY_CLOSE,
    /* Accepts connections and reads, but forwards nothing.  A direction that
     * has lost bytes stays silent after the mode changes, because forwarding
     * the rest would corrupt the stream. */
    FAULT_PROXY_BLACKHOLE,
    /* The same, but only for bytes from the upstream to the client. */
    FAULT_PROXY_BLACKHOLE_REPLY,
    /* Forwards requests and closes the connection when the reply arrives. */
    FAULT_PROXY_CLOSE_ON_REPLY,
    /* Forwards every reply 150 ms late. */
    FAULT_PROXY_DELAY_REPLY
};

typedef struct fault_proxy fault_proxy;

fault_proxy *fault_proxy_start(int listen_port, int upstream_port);
void fault_proxy_set_mode(fault_proxy *p, enum fault_proxy_mode mode);
void fault_proxy_reset_connections(fault_proxy *p);
void fault_proxy_stop(fault_proxy *p);

#endif
