-- Guards against a part of many different prompts that crashes one endpoint after the other.
platform_fleet({ bad_parts = { ["0bad0001"] = "end_after_event 1 40" }, restart_ms = 2000 })
play(20000, { sound_prompts(),
  bad_prompts({ every_ms = 100, from_ms = 3000, parts = { [2] = "0bad0001" } }) })
expect_parts(count_parts("second part", { "0bad0001" }))
