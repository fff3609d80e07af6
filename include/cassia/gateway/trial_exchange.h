/// Asks coordinators when and where suspects may run, and answers other gateways that ask.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"
#include "cassia/policy/trial_schedule.h"
#include "cassia/schema/messages.pb.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace cassia::gateway {

struct trial_exchange_hooks {
    /// Sends to another gateway. \returns false if its address is unknown.
    std::function<bool(const entry_id& to, schema::envelope&)> send;
    /// Gateways that schedule the runs of suspects, the preferred one first.
    std::function<std::vector<entry_id>()> coordinators;
    policy::trial_schedule::choose choose_endpoint;
    policy::trial_schedule::is_listed is_listed; ///< if empty, all endpoints are
    policy::trial_schedule::risk_of risk_of;     ///< if empty, no endpoint is shared
    /// Another gateway has granted runs. Items that share an endpoint have to begin together.
    std::function<void()> on_granted;
};

class trial_exchange {
public:
    struct state {
        bool is_scheduled = true; ///< false: no coordinator answers, the gateway decides itself
        std::optional<endpoint_id> endpoint; ///< where it may run; nothing while it waits
        entry_id coordinator;                ///< that was asked
        bool is_shared = false;              ///< others run there, which keep its free slots
    };

    trial_exchange(entry_id self, trial_exchange_hooks hooks);

    /// Asks for a run. Nothing if another run of the request, or many of such items, are asked for
    /// here, or too many in all.
    /// \param retry of an item with a quarantined part, the cause.
    /// \param item the item itself, whatever it is suspected for.
    std::optional<trial_id> begin(const fingerprint& request, const service_id& service,
                                  const software_version& version, policy::work_kind kind,
                                  const std::optional<policy::retry_history>& retry = {},
                                  const fingerprint& item = {});
    /// What a run that still waits is suspected for now.
    void set_cause(trial_id id, const fingerprint& cause,
                   const std::optional<policy::retry_history>& retry = {});
    state find(trial_id id) const;
    /// Whether the run was asked for at an endpoint of this service and version.
    bool asks_for(trial_id id, const service_id& service, const software_version& version) const;
    void end(trial_id id, policy::trial_outcome outcome);
    void receive(const schema::poison_news& news);
    void tick();

private:
    struct asked_trial {
        policy::trial_request request;
        entry_id coordinator;
        std::size_t changes = 0; ///< of the coordinator, as one didn't answer
        instant next_send_at{};
        instant answered_at{};
        std::optional<endpoint_id> endpoint;
        bool is_shared = false;
    };

    trial_id make_id(const fingerprint& item);
    /// Whether a further run of this cause may be asked for.
    bool may_ask(const fingerprint& request, const service_id& service, policy::work_kind kind,
                 bool is_retry) const;
    void send(const entry_id& to, const schema::poison_news& news);
    void ask(asked_trial& trial, instant now);
    void answer(const policy::trial_key& key, const std::optional<policy::trial_grant>& grant);
    /// Logs what waits while runs wait for long.
    void log_waiting(instant now);

    entry_id self_;
    trial_exchange_hooks hooks_;
    policy::trial_schedule schedule_; ///< as a coordinator
    std::map<trial_id, asked_trial> asked_;
    std::uint64_t last_id_; ///< random at first: coordinators know those of an earlier process
    instant next_log_at_{};
};

} // namespace cassia::gateway
