-- Guards against a part of prompts that is refused, and whose items wait, long after it has crashed an endpoint.
local bad_from_ms, bad_until_ms, jobs_ms, finish_ms = 6000, 12000, 30000, 6000
local bad_parts = { 2, 5 }
platform_fleet(bad_part_fleet({ gateways = 3, endpoints = 9, restart_ms = 300 }, bad_parts))
local began = play_part_items({ items = 300, jobs_ms = jobs_ms, until_ms = jobs_ms + finish_ms,
  bad_from_ms = bad_from_ms, bad_until_ms = bad_until_ms, streams = part_streams({ until_ms = jobs_ms }) })
local count = count_part_items("seed " .. seed, began, began + bad_until_ms, bad_parts)
expect_tried(count)
expect_recovered(count)
