/*
 * syc: what nodes tell each other of the desired state and of the fleet, for
 * when the store can't: a node that hears of a newer version asks the node
 * that has it.  Versions ride on requests and answers; a node that hears none
 * asks another one each second, as its connection to the store may have
 * fallen silent.
 */
#ifndef LAV_SYC_H
#define LAV_SYC_H

#include "nod.h"

#define SYC_STATE_PATH "/lav/state"
#define SYC_VERSION_PATH "/lav/version"

typedef struct syc syc;

int syc_new(syc **out, nod *n);
void syc_free(syc *s);
char *syc_version_text(const nod *n);
void syc_fetch(nod *n, const struct sockaddr_in *from);
char *syc_state_text(const nod *n);

#endif
