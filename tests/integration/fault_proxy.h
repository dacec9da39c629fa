/*
 * fault_proxy: a TCP proxy that injects faults, as one thread of the test.
 */
#ifndef LAV_FAULT_PROXY_H
#define LAV_FAULT_PROXY_H

enum fault_proxy_mode {
    FAULT_PROXY_PASS,
    FAULT_PROXY_CLOSE,     /* closes every connection, and new ones at once */
    FAULT_PROXY_BLACKHOLE, /* takes connections and bytes, and passes nothing on;
                    * a connection that lost bytes stays silent for good */
    FAULT_PROXY_BLACKHOLE_REPLY, /* the same, towards who connected only */
    FAULT_PROXY_CLOSE_ON_REPLY, /* passes requests on, closes when the reply comes */
    FAULT_PROXY_DELAY_REPLY /* passes every reply on 150 ms late */
};

typedef struct fault_proxy fault_proxy;

fault_proxy *fault_proxy_start(int listen_port, int to_port);
void fault_proxy_set_mode(fault_proxy *p, enum fault_proxy_mode mode);
void fault_proxy_reset_connections(
    fault_proxy *p); /* the open connections; new ones pass */
void fault_proxy_stop(fault_proxy *p);

#endif
