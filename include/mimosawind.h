#ifndef MIMOSAWIND_H
#define MIMOSAWIND_H

#include "mimosawind/context.h"
#include "mimosawind/control.h"
#include "mimosawind/document.h"
#include "mimosawind/entry.h"
#include "mimosawind/error.h"
#include "mimosawind/job.h"
#include "mimosawind/link-choice.h"
#include "mimosawind/log.h"
#include "mimosawind/message.h"
#include "mimosawind/record.h"
#include "mimosawind/str.h"
#include "mimosawind/wire.h"
#include "mimosawind/zone.h"

#endif
