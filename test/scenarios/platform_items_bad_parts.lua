-- Guards against items that are no longer run since others with the same quarantined part of the prompt are.
local finish_ms, jobs_ms = 18000, 30000
platform_fleet({ gateways = 3, endpoints = 9, restart_ms = 300 })
local began = play_part_items({ items = 150, jobs_ms = jobs_ms, until_ms = jobs_ms + finish_ms,
  is_bad = function(_, part) return part == 1 or part == 3 end })
expect_tried(count_part_items("seed " .. seed, began))
