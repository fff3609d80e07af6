-- Guards against parts and bodies that crash endpoints at once and hide each other.
-- The fifth crash under a part, from which on sound streams are counted, may be that of a retry 15 s later.
local play_ms = 40000
platform_fleet({ bad_parts = { ["0bad0001"] = "end_after_event 1 40",
  ["0bad0002"] = "end_after_event 2 40" }, restart_ms = 2000 })
local began = play(play_ms, { sound_prompts(),
  bad_prompts({ every_ms = 200, from_ms = 3000, parts = { [2] = "0bad0001" } }),
  bad_prompts({ every_ms = 200, from_ms = 3100, parts = { [3] = "0bad0002" } }),
  { bodies = crashing_bodies(2, "end_after_event 1 40"), every_ms = 170, from_ms = 3000 } })
local budget = count_budget("two parts and two bodies", began + 14000)
local counts = count_parts("two parts and two bodies", { "0bad0001", "0bad0002" })
expect_parts(counts)
expect_budget(budget)
