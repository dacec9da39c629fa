/*
 * news_sync: asks the nodes that read the desired state from the store which
 * version they have in force, where the deployment is so large that not all
 * nodes read it themselves (store_news).  A newer version is fetched from the
 * node that named it.
 */
#ifndef LAV_NEWS_SYNC_H
#define LAV_NEWS_SYNC_H

#include "runtime.h"

typedef struct news_sync news_sync;

int news_sync_new(news_sync **out, runtime *n);
void news_sync_free(news_sync *s);
void news_sync_configure(news_sync *s);

#endif
