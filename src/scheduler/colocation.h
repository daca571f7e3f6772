// Which tasks of which services this scheduler has on a worker.
#pragma once
#include "whinpost/nanos.h"
#include "whinpost/service.h"
#include "whinpost/task.h"
#include "whinpost/worker.h"

namespace whinpost::scheduler {

// Whether the worker is expected to have the program of the service loaded.
bool is_warm(Nanos now, Worker&, const Service*);

// Records that an attempt of the task is in flight to the worker.
void attach_task(Nanos now, Task&, Worker&);
// Records that the task has left its worker. Also drops records of services that ran there long ago.
void detach_task(Nanos now, Task&);
// Records that the task runs on its worker.
void mark_running(Nanos now, const Task&);
// Records that no program is loaded, as after a restart of the worker.
void forget_programs(Worker&);

}  // namespace whinpost::scheduler
