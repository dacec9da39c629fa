/*
 * version: of the whole project, as the programs print it.
 */
#ifndef LAV_VERSION_H
#define LAV_VERSION_H

#define LAV_VERSION "0.1.0"

#endif
