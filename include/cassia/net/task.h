/// A task: one thread with its own main context. State inside it is touched by that thread only;
/// others reach it by posting messages.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"

#include <glib.h>

#include <functional>
#include <map>
#include <string>
#include <thread>

namespace cassia::net {

class task {
public:
    explicit task(std::string name);
    task(const task&) = delete;
    task& operator=(const task&) = delete;
    /// Stops the thread, if there is one, and waits for it.
    ~task();

    /// Runs the task on a thread of its own.
    void start();
    /// Runs the task on the calling thread until quit().
    void run();
    /// Ends run(). May be called from any thread.
    void quit();
    /// Ends the thread of start() and waits for it.
    void stop();

    /// Runs `message` on the task's thread, in the order posted. May be called from any thread.
    void post(std::function<void()> message);

    /// Timers; to be called on the task's own thread, or before it runs.
    timer_id after(milliseconds delay, std::function<void()> action);
    timer_id every(milliseconds interval, std::function<void()> action);
    void cancel(timer_id id);

    GMainContext* context() { return context_; }

private:
    timer_id add_timer(milliseconds delay, std::function<void()> action, bool repeats);
    static int fire_timer(void* data);
    void forget_timer(timer_id id);

    std::string name_;
    GMainContext* context_;
    GMainLoop* loop_;
    std::thread thread_;
    std::map<timer_id, GSource*> timers_;
    std::uint64_t last_timer_ = 0;
};

/// Holds back the signals that programs handle, from the first statement of a program until
/// deliver_signals(). Without a handler their default would end the process.
void hold_signals();
/// Delivers what came meanwhile. Called on the main thread, once all handlers are installed.
void deliver_signals();

/// Calls `action` on the task's thread for each of the signals, until the task ends.
void on_signal(task& owner, int signal, std::function<void()> action);

} // namespace cassia::net
