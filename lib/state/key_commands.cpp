// Commands on idempotency keys.
//
// A key is claimed durably before its request is dispatched, and the response is stored before the
// caller gets it. If the same request reaches several entries at once, the replicated claim decides
// which of them runs it, never a local cache.

#include "cassia/schema/messages.pb.h"
#include "cassia/state/work_state.h"

namespace cassia::state {

std::size_t work_state::key_name_hash::operator()(const key_name& name) const {
    return std::hash<std::string>()(name.first) * 31 + std::hash<std::string>()(name.second);
}

schema::work_reply work_state::claim_key(const schema::key_claim& claim) {
    schema::work_reply reply;
    const key_name name{claim.team(), claim.key()};
    auto found = keys_.find(name);
    if (found == keys_.end()) {
        idempotency_key& added = keys_[name];
        added.fingerprint = claim.fingerprint();
        added.holder = claim.holder();
        added.repeatable = claim.repeatable();
        added.at = claim.at();
        added.retention_ms = claim.retention_ms();
        added.request = claim.request();
        return reply;
    }
    if (found->second.fingerprint != claim.fingerprint()) {
        reply.set_result(schema::work_reply::key_reused);
        return reply;
    }
    switch (found->second.status) {
    case key_status::running:
        // An entry resends its own claim if the reply to it was lost.
        if (found->second.request != claim.request())
            reply.set_result(schema::work_reply::in_progress);
        break;
    case key_status::done:
        reply.set_result(schema::work_reply::replay);
        break;
    case key_status::unknown:
        reply.set_result(schema::work_reply::outcome_unknown);
        break;
    }
    return reply;
}

schema::work_reply work_state::finish_key(const schema::key_finish& finish,
                                          const storage::position& position) {
    schema::work_reply reply;
    auto found = keys_.find({finish.team(), finish.key()});
    const bool held = found != keys_.end() && found->second.status == key_status::running &&
                      found->second.holder == finish.holder() &&
                      found->second.request == finish.request();
    if (!held) {
        reply.set_result(schema::work_reply::missing);
        return reply;
    }
    if (finish.release()) {
        keys_.erase(found);
        return reply;
    }
    found->second.at = finish.at();
    found->second.status = finish.outcome_unknown() ? key_status::unknown : key_status::done;
    found->second.response = position;
    return reply;
}

// The holder of the claim failed and may have dispatched the request before. If the request may be
// repeated, its key becomes free again. Otherwise the outcome stays unknown, because running a
// resent request could run it a second time.
void work_state::revoke_claims(const std::string& holder) {
    for (auto key = keys_.begin(); key != keys_.end();) {
        const bool revoked =
            key->second.status == key_status::running && key->second.holder == holder;
        if (revoked && key->second.repeatable) {
            key = keys_.erase(key);
            continue;
        }
        if (revoked)
            key->second.status = key_status::unknown;
        ++key;
    }
}

result<void> work_state::fill_answer(schema::work_reply& reply, const std::string& team,
                                     const std::string& key, const record_reader& read) const {
    auto found = keys_.find({team, key});
    if (found == keys_.end() || found->second.status != key_status::done)
        return success();
    storage::result<std::string> record = read(found->second.response);
    schema::work_command command;
    if (!record || !command.ParseFromString(record.value()) || !command.has_finish())
        return failure(
            error{errc::lost_body, "the log record of a stored response is missing or damaged"});
    *reply.mutable_answer() = command.finish().answer();
    return success();
}

} // namespace cassia::state
