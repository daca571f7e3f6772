// Which tasks of which services this scheduler has on a worker.
#pragma once
#include "whinpost/nanos.h"
#include "whinpost/service.h"
#include "whinpost/task.h"
#include "whinpost/worker.h"

namespace whinpost::scheduler {

// Whether a start of the service there finds its program loaded.
bool is_warm(Nanos now, Worker&, const Service*);

// Records that an attempt of the task is in flight to the worker.
void attach_task(Nanos now, Task&, Worker&);
// Records that the task is not on its worker any more. Services that ran there long ago are forgotten.
void detach_task(Nanos now, Task&);
// Records that the task runs on its worker.
void mark_running(Nanos now, const Task&);
// After a restart no program is loaded.
void forget_programs(Worker&);

}  // namespace whinpost::scheduler
