#include "cassia/entry/service.h"

#include "cassia/base/log.h"

#include <utility>

namespace cassia::entry {

service::service(const schema::entry_settings& settings)
    : control_(settings,
               control_task_hooks{
                   [this](const fleet_view_ptr& view) {
                       front_.set_view(view);
                       batch_.set_view(view);
                   },
                   [this](const endpoint_id& endpoint, std::uint32_t slots) {
                       batch_.yield(endpoint, slots);
                   },
                   [this](const std::vector<job_id>& jobs) { batch_.cancel_jobs(jobs); }}),
      front_(settings, control_,
             front_hooks{[this](batch_offers offers) { batch_.set_offers(std::move(offers)); },
                         [this](std::function<void(std::string)> done) {
                             batch_.dump(front_.home(), std::move(done));
                         },
                         [this] { batch_.drain(); }, [] {}}),
      batch_(settings, control_,
             batch_hooks{
                 [this](std::vector<endpoint_use> uses) { front_.set_batch_uses(std::move(uses)); },
                 [this](decision one) { front_.note(std::move(one)); }}) {}

std::string service::open() {
    std::string control = control_.open();
    if (!control.empty())
        return control;
    return front_.open();
}

void service::run() {
    control_.start();
    batch_.start();
    front_.run();
    batch_.stop();
    control_.stop();
}

} // namespace cassia::entry
