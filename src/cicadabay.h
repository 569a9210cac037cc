/*
 * Includes the decision modules of cicadabay, for benchmarks that drive them
 * in one process with a simulated clock. Each header documents its events,
 * actions, units and errors.
 */
#ifndef CICADABAY_H
#define CICADABAY_H

#include "control/agent.h"
#include "control/cell.h"
#include "placement/sched.h"
#include "request/eng.h"
#include "request/grant.h"

#endif
