/*
 * store_news: which nodes read the desired state from the store, and whether
 * this node may rely on them.
 *
 * Meant for large deployments: each change that all nodes read themselves
 * costs a call to the store a node.  A few nodes, the readers, keep reading;
 * the others ask them, one after the other, for the version in force, and read
 * themselves once no reader has confirmed theirs for a while.  Each node
 * chooses the readers from the fleet as it knows it, so there is no election:
 * two nodes that disagree only cost calls.  In small fleets all read.
 *
 * Load pattern: chosen and asked a few times a second, whatever the traffic.
 */
#ifndef LAV_STORE_NEWS_H
#define LAV_STORE_NEWS_H

#include <stdbool.h>
#include <stdint.h>

#include "lav/instance.h"
#include "lav/routing.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Readers in each availability zone, and in all if there are few zones. */
#define STORE_NEWS_READERS_PER_ZONE 2
#define STORE_NEWS_READERS_MIN 3

/* Zones with readers of their own; nodes of further zones ask those. */
#define STORE_NEWS_ZONES_MAX 16

/* Nodes a reader from which on not all nodes read. */
#define STORE_NEWS_NODES_PER_READER 4

/* 1 s since a reader has confirmed the version in force, after which the node
 * reads itself: half of the shortest time within which a change has to be in
 * force. */
#define STORE_NEWS_SILENCE_US 1000000

typedef struct store_news {
    bool shared; /* the desired state calls for it */
    int readers[STORE_NEWS_ZONES_MAX * STORE_NEWS_READERS_PER_ZONE +
                STORE_NEWS_READERS_MIN]; /* handles of the fleet */
    int reader_count;                    /* 0: all nodes read */
    bool is_reader;                      /* this node is one of them */
    unsigned int asked;                  /* questions sent to readers */
    int64_t confirmed_us; /* when the version in force was last known to be
                           * the newest; 0: never */
} store_news;

/* What a reader says of the version that it has put in force. */
enum store_news_verdict {
    STORE_NEWS_CONFIRMED, /* this node's version is the newest */
    STORE_NEWS_NEWER,     /* there is a newer one */
    STORE_NEWS_UNKNOWN    /* the node asked doesn't read, or lags behind */
};

bool store_news_is_called_for(const routing_table *routes);
void store_news_choose(store_news *news, const instance_table *fleet,
                       const char *self, int64_t now_us);
int store_news_next_reader(store_news *news, int self);
enum store_news_verdict store_news_judge(uint64_t version, bool reads,
                                         uint64_t own_version);
void store_news_confirm(store_news *news, int64_t at_us);
bool store_news_is_confirmed(const store_news *news, int64_t now_us);
bool store_news_may_wait(const store_news *news, int64_t now_us);
int store_news_drawn_nodes(const store_news *news, int fleet_nodes);
bool store_news_check_is_due(const store_news *news, int drawn_for,
                             int fleet_nodes, double random, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
