/// The HTTP interface to batch jobs: /v1/batches.
#pragma once

#include "cassia/entry/http_task.h"
#include "cassia/schema/messages.pb.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cassia::entry {

class batch_api {
public:
    explicit batch_api(http_context& context) : context_(context) {}

    void serve(exchange_id exchange, const net::http_request& request,
               const authenticated_caller& caller, const std::string& request_id);

private:
    /// A job that is being transferred to its work group in parts.
    struct pending_submission {
        exchange_id exchange;
        std::string request_id;
        schema::job_begin begin;
        std::vector<schema::job_items> parts;
        std::size_t next_part = 0;
        int failed_commits = 0;
    };
    using submission_ptr = std::shared_ptr<pending_submission>;
    using reply_callback = std::function<void(const schema::work_reply&)>;

    // Submission (batch_submission.cpp).
    void submit(exchange_id exchange, const net::http_request& request,
                const authenticated_caller& caller, const std::string& request_id);
    void send_begin(const submission_ptr& submission);
    void send_next_part(const submission_ptr& submission);
    void send_commit(const submission_ptr& submission);
    void send_command(exchange_id exchange, const std::string& request_id, group_id group,
                      const schema::work_command& command, const reply_callback& on_reply);

    // Queries and cancellation (batch_api.cpp).
    void list_jobs(exchange_id exchange, const authenticated_caller& caller,
                   const std::string& request_id);
    void show_job(exchange_id exchange, const std::string& job, const authenticated_caller& caller,
                  const std::string& request_id);
    void cancel_job(exchange_id exchange, const std::string& job,
                    const authenticated_caller& caller, const std::string& request_id);
    void show_item(exchange_id exchange, const std::string& job, const std::string& custom_id,
                   const authenticated_caller& caller, const std::string& request_id);
    void stream_results(exchange_id exchange, const std::string& job, std::uint32_t first_ordinal,
                        const std::string& team, const std::string& request_id, bool head_sent);
    void send_query(exchange_id exchange, const std::string& request_id, group_id group,
                    const schema::work_query& query, const reply_callback& on_reply);
    void respond_with_job(exchange_id exchange, const std::string& request_id, int status,
                          const schema::job_view& job);
    group_id group_of(const std::string& job) const;

    http_context& context_;
};

} // namespace cassia::entry
