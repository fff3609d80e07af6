-- Guards against a part of many different prompts that hangs endpoints until they end.
platform_fleet({ bad_parts = { ["0bad0001"] = "hang 0 3000" }, restart_ms = 2000 })
play(24000, { sound_prompts(),
  bad_prompts({ every_ms = 60, from_ms = 3000, parts = { [3] = "0bad0001" } }) })
expect_parts(count_parts("third part, hang", { "0bad0001" }))
