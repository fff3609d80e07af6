#include "cassia/entry/service.h"

#include "cassia/base/log.h"

#include <utility>

namespace cassia::entry {

service::service(const schema::entry_settings& settings)
    : control_(settings,
               control_task_hooks{
                   [this](const cluster_view_ptr& view) {
                       http_.set_view(view);
                       batch_.set_view(view);
                   },
                   [this](const endpoint_id& endpoint, std::uint32_t slots) {
                       batch_.yield(endpoint, slots);
                   },
                   [this](const std::vector<job_id>& jobs) { batch_.cancel_jobs(jobs); }}),
      http_(settings, control_,
            http_task_hooks{[this](batch_capacities capacities) {
                                batch_.set_capacities(std::move(capacities));
                            },
                            [this](std::function<void(std::string)> on_dump) {
                                batch_.dump(http_.task(), std::move(on_dump));
                            },
                            [this] { batch_.drain(); }, [] {}}),
      batch_(
          settings, control_,
          batch_task_hooks{
              [this](std::vector<endpoint_use> uses) { http_.set_batch_uses(std::move(uses)); },
              [this](decision decision_made) { http_.add_decision(std::move(decision_made)); }}) {}

std::string service::open() {
    std::string error = control_.open();
    if (!error.empty())
        return error;
    return http_.open();
}

void service::run() {
    control_.start();
    batch_.start();
    http_.run();
    batch_.stop();
    control_.stop();
}

} // namespace cassia::entry
