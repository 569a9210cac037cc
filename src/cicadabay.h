/*
 * The decision modules of cicadabay, for a bench that drives them in one
 * process on its own clock. Each header documents events, actions, units and
 * errors.
 */
#ifndef CICADABAY_H
#define CICADABAY_H

#include "control/agent.h"
#include "control/cell.h"
#include "placement/sched.h"
#include "request/eng.h"
#include "request/grant.h"

#endif
