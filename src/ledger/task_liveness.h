// Whether a task that counts as running really runs, as far as its worker has shown it. It decides when a
// doubt has lasted for too long; it reads no clock and does no I/O.
//
// A worker says something of a task when it accepts it, when it is handed to another placer, when its use
// changes, and when it ends. Between these it may be silent for as long as the task runs, so silence alone is
// no doubt.
#pragma once
#include <string_view>

#include "whinpost/nanos.h"

namespace whinpost::ledger {

// Why a running task is taken to be over without its worker's word.
enum class TaskLossReason {
    worker_restarted,  // the endpoint list names a later start of the worker
    worker_refused,    // no process listens at the worker's address
    worker_left,       // it is no longer listed, and has had its time to say the ends of its tasks
    worker_silent,     // neither a message nor a connection for long
    unconfirmed,       // a client reported it, and its worker says nothing of it
    interrupted,       // its worker's connections broke, and nothing shows that the same process is back
    superseded,        // its client has reported it under another id, and its worker knows it by that one
};
std::string_view to_string(TaskLossReason);

class TaskLiveness {
public:
    // Clients are owed a word 3 s after they connect. Workers speak within some 20 ms of a report (measured
    // on loopback); the rest is for dials that come up late.
    static constexpr Nanos kConfirmationTimeout = 2500 * kMillisecond;
    // After so long a watch on the endpoint list that is up and not silent has told a restart.
    static constexpr Nanos kListDelay = 4 * kSecond;
    // What is over is to be released 8 s after its end at the latest.
    static constexpr Nanos kInterruptionTimeout = 7500 * kMillisecond;

    // A client reports the task: nothing shows yet that it runs.
    void on_reported(Nanos now);
    // The worker has accepted it, or said something of it.
    void on_worker_message();
    // The last connection to the worker broke: its process may have died, and the task with it.
    void on_interrupted(Nanos now);
    // The connection on which the worker spoke of it is silent since then, and the worker answers on a newer
    // one: another process may have taken the place of the one that ran it. The list may tell that too late.
    void on_silenced(Nanos since);
    // No process listened at the worker's address since. So the process that ran the task is gone, unless the
    // refusal was not the worker's own.
    void on_dial_refused();
    // The worker's process has shown that it is the one that ran at `since`.
    void on_process_confirmed(Nanos since);

    bool in_doubt() const { return doubt_ != Doubt::none; }
    bool is_confirmed() const { return doubt_ != Doubt::unconfirmed; }
    Nanos doubted_since() const { return since_; }  // valid while in doubt

    // What is known when a doubt is judged.
    struct Evidence {
        // The watch on the endpoint list is up and not silent now. At any moment from kListDelay on that ends
        // the doubt after an interruption, unless a dial was refused.
        bool list_is_current = false;
        // The worker has said anything, of whatever task, since the doubt began. One that cannot be heard
        // cannot confirm a report either.
        bool worker_heard = true;
        // The client has reported another task that was confirmed.
        bool client_trusted = false;
    };
    enum class Verdict { keep, unconfirmed, interrupted };
    // To be asked from time to time.
    Verdict check(Nanos now, const Evidence&);

private:
    enum class Doubt { none, unconfirmed, interrupted };
    Doubt doubt_ = Doubt::none;
    bool may_be_replaced_ = false;  // the process; that the list tells no restart is no proof then
    Nanos since_ = 0;
};

}  // namespace whinpost::ledger
