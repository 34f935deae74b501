#include "policy_model.h"

#include <stdio.h>

enum
{
  WIDTH = 760,
  HEIGHT = 300,
  LEFT = 50,
  TOP = 30,
  STEP = 5,          /* width of a bucket in pixels */
  SHOWN = 120,       /* buckets */
  CHANGES_HEIGHT = 8 /* of one role change, in pixels */
};

static void
draw (FILE *file, const struct result *result, const char *colour,
      const char *name, int legend)
{
  int b;

  fprintf (file,
           "<text x=\"%d\" y=\"20\" fill=\"%s\">%s</text>\n"
           "<polyline fill=\"none\" stroke=\"%s\" stroke-width=\"2\" "
           "points=\"",
           LEFT + legend, colour, name, colour);
  for (b = 0; b < SHOWN; b++)
    fprintf (file, "%d,%.1f ", LEFT + b * STEP,
             TOP + HEIGHT * (1 - result->series[b]));
  fprintf (file, "\"/>\n");
  for (b = 0; b < SHOWN; b++)
    if (result->changes_at[b])
      fprintf (file,
               "<rect x=\"%d\" y=\"%u\" width=\"%d\" height=\"%u\" "
               "fill=\"%s\"/>\n",
               LEFT + b * STEP,
               TOP + HEIGHT - CHANGES_HEIGHT * result->changes_at[b], STEP - 1,
               CHANGES_HEIGHT * result->changes_at[b], colour);
}

int
report_svg (const char *name, const struct result *baseline,
            const struct result *policy)
{
  FILE *file = fopen (name, "w");
  int i;

  if (!file)
    {
      perror (name);
      return -1;
    }
  fprintf (file,
           "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" "
           "height=\"%d\" font-family=\"sans-serif\" font-size=\"12\">\n"
           "<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n",
           WIDTH, HEIGHT + TOP + 40);
  for (i = 0; i <= 4; i++)
    fprintf (file,
             "<line x1=\"%d\" x2=\"%d\" y1=\"%d\" y2=\"%d\" "
             "stroke=\"#ccc\"/><text x=\"5\" y=\"%d\">%d%%</text>\n",
             LEFT, LEFT + SHOWN * STEP, TOP + HEIGHT * i / 4,
             TOP + HEIGHT * i / 4, TOP + HEIGHT * i / 4 + 4, 100 - 25 * i);
  for (i = 0; i <= SHOWN; i += 12)
    fprintf (file, "<text x=\"%d\" y=\"%d\">%d min</text>\n",
             LEFT + i * STEP - 10, TOP + HEIGHT + 16, i * BUCKET_S / 60);
  draw (file, baseline, "#c33", "baseline", 0);
  draw (file, policy, "#36c", "policy (bars: role changes)", 80);
  fprintf (file, "</svg>\n");
  if (fclose (file))
    {
      perror (name);
      return -1;
    }
  return 0;
}
