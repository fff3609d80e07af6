-- Guards against items that no gateway leases since each of its routes asks the same work group each time.
platform_fleet({ gateways = 1, endpoints = 4, work_groups = 2 })
local configuration = decode(platform_configuration(2))
for _, route in ipairs(configuration.routes) do
  if route.kind == "batch" then
    local more = decode(encode(route))
    more.name, more.pathPrefix = "more", "/more/j/"
    table.insert(configuration.routes, more)
    break
  end
end
eventually(10000, "the configuration is accepted", function()
  return answer(begin_configuration(math.random(3), encode(configuration))).status == 200
end)
sleep(contact_ms)
local began = now()
for i = 1, 8 do
  begin_job("job-" .. seed .. "-" .. i, { "prompt " .. i })
  begin_job("more-" .. seed .. "-" .. i, { "prompt more " .. i }, "/more/j/")
end
wait_jobs(2 * max_idle_ms)
expect_items_listed("work groups", began)
