#include "cassia/net/task.h"

#include <glib-unix.h>
#include <glib.h>

#include <csignal>
#include <memory>
#include <utility>

namespace cassia::net {

namespace {
struct timer_data {
    task* owner = nullptr;
    timer_id id;
    std::function<void()> action;
    bool repeats = false;
};
} // namespace

template <class T>
static void delete_data(void* data) {
    delete static_cast<T*>(data);
}

static int run_message(void* data) {
    (*static_cast<std::function<void()>*>(data))();
    return G_SOURCE_REMOVE;
}

static int run_signal(void* data) {
    (*static_cast<std::function<void()>*>(data))();
    return G_SOURCE_CONTINUE;
}

task::task(std::string name)
    : name_(std::move(name)), context_(g_main_context_new()),
      loop_(g_main_loop_new(context_, FALSE)) {}

task::~task() {
    stop();
    for (const std::pair<const timer_id, GSource*>& timer : timers_)
        g_source_destroy(timer.second);
    g_main_loop_unref(loop_);
    g_main_context_unref(context_);
}

void task::start() {
    thread_ = std::thread([this] { run(); });
}

void task::run() {
    g_main_context_push_thread_default(context_);
    g_main_loop_run(loop_);
    g_main_context_pop_thread_default(context_);
}

void task::quit() {
    // The loop may not run yet, in which case g_main_loop_quit would be lost; a posted message
    // is not.
    post([this] { g_main_loop_quit(loop_); });
}

void task::stop() {
    if (!thread_.joinable())
        return;
    quit();
    thread_.join();
}

void task::post(std::function<void()> message) {
    GSource* source = g_idle_source_new();
    g_source_set_priority(source, G_PRIORITY_DEFAULT);
    g_source_set_callback(source, run_message, new std::function<void()>(std::move(message)),
                          delete_data<std::function<void()>>);
    g_source_attach(source, context_);
    g_source_unref(source);
}

timer_id task::after(milliseconds delay, std::function<void()> action) {
    return add_timer(delay, std::move(action), false);
}

timer_id task::every(milliseconds interval, std::function<void()> action) {
    return add_timer(interval, std::move(action), true);
}

timer_id task::add_timer(milliseconds delay, std::function<void()> action, bool repeats) {
    const timer_id id(++last_timer_);
    std::unique_ptr<timer_data> data = std::make_unique<timer_data>();
    data->owner = this;
    data->id = id;
    data->action = std::move(action);
    data->repeats = repeats;
    GSource* source = g_timeout_source_new(static_cast<guint>(delay.count()));
    g_source_set_callback(source, fire_timer, data.release(), delete_data<timer_data>);
    g_source_attach(source, context_);
    timers_[id] = source;
    g_source_unref(source);
    return id;
}

int task::fire_timer(void* data) {
    timer_data* timer = static_cast<timer_data*>(data);
    if (timer->repeats) {
        timer->action();
        return G_SOURCE_CONTINUE;
    }
    // Forgotten first, so that the action may set a new timer or cancel this one.
    timer->owner->forget_timer(timer->id);
    timer->action();
    return G_SOURCE_REMOVE;
}

void task::forget_timer(timer_id id) {
    timers_.erase(id);
}

void task::cancel(timer_id id) {
    auto found = timers_.find(id);
    if (found == timers_.end())
        return;
    g_source_destroy(found->second);
    timers_.erase(found);
}

static void change_signal_mask(int how) {
    sigset_t handled;
    sigemptyset(&handled);
    for (const int signal : {SIGHUP, SIGINT, SIGTERM, SIGUSR1})
        sigaddset(&handled, signal);
    pthread_sigmask(how, &handled, nullptr);
}

void hold_signals() {
    change_signal_mask(SIG_BLOCK);
}

void deliver_signals() {
    change_signal_mask(SIG_UNBLOCK);
}

void on_signal(task& owner, int signal, std::function<void()> action) {
    GSource* source = g_unix_signal_source_new(signal);
    g_source_set_callback(source, run_signal, new std::function<void()>(std::move(action)),
                          delete_data<std::function<void()>>);
    g_source_attach(source, owner.context());
    g_source_unref(source);
}

} // namespace cassia::net
