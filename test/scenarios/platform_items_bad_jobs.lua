-- Guards against sound items that wait behind crashing ones with the same part of the prompt.
local finish_ms, jobs_ms, jobs = 18000, 18000, 60
platform_fleet({ gateways = 3, endpoints = 9, restart_ms = 300 })
local began = play_part_items({ items = 10 * jobs, jobs_ms = jobs_ms, until_ms = jobs_ms + finish_ms,
  is_bad = function(job, part) return part == 4 and job > jobs / 3 and job <= 2 * jobs / 3 end })
expect_tried(count_part_items("seed " .. seed, began))
