/*
 * prx: a TCP proxy that injects faults, as one thread of the test.
 */
#ifndef LAV_PRX_H
#define LAV_PRX_H

enum prx_mode {
    PRX_PASS,
    PRX_CUT,        /* closes every connection, and new ones at once */
    PRX_HOLD,       /* takes connections and bytes, and passes nothing on;
                    * a connection that lost bytes stays silent for good */
    PRX_HOLD_REPLY, /* the same, towards who connected only */
    PRX_CUT_REPLY,  /* passes requests on, closes when the reply comes */
    PRX_SLOW        /* passes every reply on 150 ms late */
};

typedef struct prx prx;

prx *prx_start(int listen_port, int to_port);
void prx_set(prx *p, enum prx_mode mode);
void prx_reset(prx *p); /* the open connections; new ones pass */
void prx_stop(prx *p);

#endif
