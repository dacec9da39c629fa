/*
 * version: the version of the project, as all programs report it.
 */
#ifndef LAV_VERSION_H
#define LAV_VERSION_H

#define LAV_VERSION "0.1.0"

#endif
