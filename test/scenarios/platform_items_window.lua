-- Guards against gateways that lease nothing more, for any job, while they hold many items that wait for quarantined parts.
local jobs_ms, finish_ms, bad_jobs, bad_parts = 24000, 36000, 160, 5
platform_fleet({ gateways = 3, endpoints = 9, restart_ms = 300 })
local began = play_part_items({ items = 2400, jobs_ms = jobs_ms, until_ms = jobs_ms + finish_ms,
  is_bad = function(job, part) return job <= bad_jobs and part <= bad_parts end })
expect_tried(count_part_items("seed " .. seed, began))
